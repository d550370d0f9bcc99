"""Runs measurements: ``python -m hyssopway_standins.measure [AREA ...]``."""

from __future__ import annotations

import argparse
import importlib
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

from .report import write_report

if TYPE_CHECKING:
    from .measurement import Measurement

# Each area is a module of this package that defines `measure(*, seed: int, quick: bool) -> Measurement`.
AREAS: tuple[str, ...] = ("agreement", "requests", "jobs", "fleet", "nodes", "dispatch", "startup")


def main() -> int:
    """Runs the requested areas and writes the report after each one."""
    parser = argparse.ArgumentParser(prog="measure")
    parser.add_argument("areas", nargs="*", metavar="AREA", help=f"one of {', '.join(AREAS)}; all by default")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="smaller sizes, for a quick check")
    parser.add_argument("--folder", type=Path, default=Path("measure-results"))
    options = parser.parse_args()
    measurements: list[Measurement] = []
    for area in options.areas or AREAS:
        started = time.monotonic()
        module = importlib.import_module(f"{__package__}.{area}")
        measurements.append(module.measure(seed=options.seed, quick=options.quick))
        print(f"{area}: {time.monotonic() - started:.1f} s")
        write_report(folder=options.folder, measurements=measurements, seed=options.seed)
    print(f"report: {options.folder / 'report.md'}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
