"""Generates docs/CAPACITY.md: ``python -m hyssopway_standins.measure.capacity``."""

from __future__ import annotations

import argparse
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pydantic_core import from_json

from .capacity_page import render_page
from .target import Target

RESULTS = Path("measure-results/results.json")
PAGE = Path("docs/CAPACITY.md")

# Number of ended jobs that a region keeps, and memory of one record; see control/apply/jobs.py.
ENDED_JOBS = 10_000
JOB_KB = 1.5


@dataclass(frozen=True, slots=True, kw_only=True)
class CapacityEstimate:
    """Estimates at the target scale, extrapolated from measured slopes.

    Attributes:
        figures: Measured values by area and name.
        target: Target scale and limits.
        entry_workers: Number of workers whose home is one entry VM of the largest region.
        entry_core: Fraction of a core that the syncs of these workers use on the entry VM.
        entry_memory_mb: Resident memory of an entry daemon.
        state_mb: Memory of the replicated state of the largest region.
        log_entries: Log entries a second of the largest region.
        log_limit: Measured log entries a second of one group with 8 writers.
        worker_core: Fraction of a core that is used on the node of a worker.
        worker_bytes: Network traffic of the node of a worker, in bytes a second.
        maintained_vms_per_h: VMs that maintenance waves must complete in an hour in all regions.
    """

    figures: dict[str, dict[str, float]]
    target: Target
    entry_workers: float
    entry_core: float
    entry_memory_mb: float
    state_mb: float
    log_entries: float
    log_limit: float
    worker_core: float
    worker_bytes: float
    maintained_vms_per_h: float


def estimate_capacity(figures: dict[str, dict[str, float]], *, target: Target) -> CapacityEstimate:
    """Extrapolates the measured values to the target scale."""
    nodes, agreement = figures["nodes"], figures["agreement"]
    entry_workers = target.region_workers / target.region_vms
    jobs_kb = (ENDED_JOBS + target.region_workers) * JOB_KB
    vms_kb = target.region_workers * agreement["memory per VM KB"]
    keys_kb = 2 * target.teams * agreement["memory per key KB"]
    state_mb = (jobs_kb + vms_kb + keys_kb) / 1024
    sessions_mb = entry_workers * nodes["daemon_rss_kb_per_worker"] / 1024
    return CapacityEstimate(
        figures=figures,
        target=target,
        entry_workers=entry_workers,
        entry_core=entry_workers * nodes["cpu_per_worker"],
        entry_memory_mb=nodes["daemon_rss_mb_idle"] + sessions_mb + state_mb,
        state_mb=state_mb,
        log_entries=target.region_log_entries_a_second,
        log_limit=agreement["changes at 8 writers per s"],
        worker_core=nodes["worker_cpu"],
        worker_bytes=nodes["worker_bytes_per_second"],
        maintained_vms_per_h=target.workers / target.maintenance_period_s * 3600,
    )


def main() -> int:
    """Reads the results of `make measure`, writes the page and returns the exit status."""
    parser = argparse.ArgumentParser(prog="capacity")
    parser.add_argument("--results", type=Path, default=RESULTS)
    parser.add_argument("--page", type=Path, default=PAGE)
    options = parser.parse_args()
    if not options.results.exists():
        print(f"{options.results} does not exist; run `make measure` first", file=sys.stderr)
        return 1
    results: dict[str, Any] = from_json(options.results.read_bytes())
    figures = {item["area"]: item["figures"] for item in results["measurements"]}
    missing = {"nodes", "agreement", "jobs", "requests", "fleet"} - figures.keys()
    if missing:
        print(f"areas {sorted(missing)} are missing; run `make measure`", file=sys.stderr)
        return 1
    capacity = estimate_capacity(figures, target=Target())
    options.page.write_text(render_page(capacity, origin=results["origin"]))
    print(f"wrote {options.page}")
    return 0


if __name__ == "__main__":
    sys.exit(main())

__all__ = ["CapacityEstimate", "estimate_capacity"]
