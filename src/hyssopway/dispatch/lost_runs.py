"""Reports the runs that were lost with their VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event

from .start_log import MAX_RUNS_PER_LOG_LINE

if TYPE_CHECKING:
    from collections import Counter

    from hyssopway.workflow import VmRecord


def report_lost_runs(record: VmRecord, *, reason: str, counters: Counter[str]) -> None:
    """Logs and counts the runs that end because their VM ended; does nothing for a VM without runs.

    Args:
        record: Record of the VM before its runs are ended.
        reason: How the end of the VM was noticed.
        counters: Numbers of scheduling decisions of this term, by name.
    """
    if not record.runs:
        return
    counters["vms_lost_with_runs"] += 1
    counters["runs_lost_with_vms"] += len(record.runs)
    runs = sorted(record.runs)
    for offset in range(0, len(runs), MAX_RUNS_PER_LOG_LINE):
        batch = runs[offset : offset + MAX_RUNS_PER_LOG_LINE]
        log_event(Event.RUNS_LOST, vm=record.vm_id, count=len(runs), runs=batch, reason=reason)


__all__ = ["report_lost_runs"]
