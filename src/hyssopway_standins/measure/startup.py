"""Measures CPU time until the programs of `platform/` accept a connection, and their memory."""

from __future__ import annotations

import tempfile
from pathlib import Path
from statistics import median

from hyssopway_standins.program_start import ProgramStart, measure_bare_import, measure_start

from .measurement import Measurement

ROLES = ("entry", "control")
STARTS = 9
QUICK_STARTS = 3


def measure(*, seed: int, quick: bool) -> Measurement:
    """Starts each program several times, in turn with a bare import of `aiohttp.web`, and returns the medians."""
    imports: list[float] = []
    starts: dict[str, list[ProgramStart]] = {role: [] for role in ROLES}
    for _ in range(QUICK_STARTS if quick else STARTS):
        imports.append(measure_bare_import())
        for role in ROLES:
            with tempfile.TemporaryDirectory() as folder:
                starts[role].append(measure_start(role, folder=Path(folder)))
    bare_s = median(imports)
    figures = {"bare_import_cpu_ms": bare_s * 1000}
    for role in ROLES:
        cpu_s = median(start.cpu_s for start in starts[role])
        figures |= {
            f"{role}_start_cpu_ms": cpu_s * 1000,
            f"{role}_start_wall_ms": median(start.wall_s for start in starts[role]) * 1000,
            f"{role}_start_ratio": cpu_s / bare_s,
            f"{role}_rss_mb": median(start.rss_mb for start in starts[role]),
        }
    return Measurement(area="startup", figures=figures)


__all__ = ["measure"]
