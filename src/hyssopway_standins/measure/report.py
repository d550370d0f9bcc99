"""Writes measurements as JSON and as a page with plots."""

from __future__ import annotations

import platform
import subprocess
from typing import TYPE_CHECKING

from pydantic_core import to_json

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from .measurement import Measurement, Series


def write_report(*, folder: Path, measurements: Sequence[Measurement], seed: int) -> None:
    """Writes `results.json`, `report.md` and one plot for each pair of labels."""
    folder.mkdir(parents=True, exist_ok=True)
    origin = {"commit": _commit(), "machine": f"{platform.machine()} {platform.processor()}", "seed": seed}
    document = {"origin": origin, "measurements": measurements}
    (folder / "results.json").write_bytes(to_json(document, indent=2))
    lines = ["# Measurements", "", *(f"- {name}: {value}" for name, value in origin.items())]
    for measurement in measurements:
        lines += ["", f"## {measurement.area}", "", "| figure | value |", "|---|---|"]
        lines += [f"| {name} | {value:g} |" for name, value in measurement.figures.items()]
        lines += ["", *(f"![{name}]({name})" for name in _plot(folder=folder, measurement=measurement))]
    (folder / "report.md").write_text("\n".join(lines) + "\n")


def _plot(*, folder: Path, measurement: Measurement) -> list[str]:
    import matplotlib as mpl  # noqa: PLC0415  only needed here, and slow to import

    mpl.use("Agg")
    from matplotlib import pyplot as plt  # noqa: PLC0415

    names = []
    for number, group in enumerate(_group(measurement.series)):
        figure, axes = plt.subplots()
        for series in group:
            axes.plot(*zip(*series.points, strict=True), marker="o", label=series.name)
        axes.set_xlabel(group[0].x_label)
        axes.set_ylabel(group[0].y_label)
        axes.legend()
        name = f"{measurement.area}-{number + 1}.png"
        figure.savefig(folder / name)
        plt.close(figure)
        names.append(name)
    return names


def _group(series: Sequence[Series]) -> list[list[Series]]:
    groups: dict[tuple[str, str], list[Series]] = {}
    for item in series:
        if item.points:
            groups.setdefault((item.x_label, item.y_label), []).append(item)
    return list(groups.values())


def _commit() -> str:
    command = ["git", "rev-parse", "--short", "HEAD"]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    return result.stdout.strip() or "unknown"


__all__ = ["write_report"]
