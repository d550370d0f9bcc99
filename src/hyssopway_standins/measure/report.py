"""Writes measurements as JSON and as a Markdown page with plots."""

from __future__ import annotations

import platform
import subprocess
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pydantic import TypeAdapter, ValidationError
from pydantic_core import to_json

from .measurement import Measurement, Series

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

RESULTS_FILE = "results.json"


@dataclass(frozen=True, slots=True, kw_only=True)
class Results:
    """Content of `results.json`.

    Attributes:
        origin: Commit, machine and seed of the measurements.
        measurements: One measurement for each area.
    """

    origin: dict[str, Any]
    measurements: list[Measurement]


_RESULTS = TypeAdapter(Results)


def write_report(*, folder: Path, measurements: Sequence[Measurement], seed: int) -> None:
    """Writes `results.json`, `report.md` and one plot for each pair of axis labels.

    Keeps earlier results of other areas when their commit, machine and seed are the same.
    """
    folder.mkdir(parents=True, exist_ok=True)
    origin = {"commit": _commit(), "machine": f"{platform.machine()} {platform.processor()}", "seed": seed}
    measured = {measurement.area for measurement in measurements}
    earlier = _read_earlier(folder / RESULTS_FILE, origin=origin)
    measurements = [*(one for one in earlier if one.area not in measured), *measurements]
    document = Results(origin=origin, measurements=measurements)
    (folder / RESULTS_FILE).write_bytes(to_json(document, indent=2))
    lines = ["# Measurements", "", *(f"- {name}: {value}" for name, value in origin.items())]
    for measurement in measurements:
        lines += ["", f"## {measurement.area}", "", "| figure | value |", "|---|---|"]
        lines += [f"| {name} | {value:g} |" for name, value in measurement.figures.items()]
        lines += ["", *(f"![{name}]({name})" for name in _plot(folder=folder, measurement=measurement))]
    (folder / "report.md").write_text("\n".join(lines) + "\n")


def _read_earlier(path: Path, *, origin: dict[str, Any]) -> list[Measurement]:
    if not path.exists():
        return []
    try:
        results = _RESULTS.validate_json(path.read_bytes())
    except ValidationError as error:
        print(f"{path} is not valid and is replaced: {error.error_count()} errors", file=sys.stderr)
        return []
    if results.origin != origin:
        areas = ", ".join(one.area for one in results.measurements)
        print(f"dropping results for {areas} from {results.origin}; this run is {origin}", file=sys.stderr)
        return []
    return results.measurements


def _plot(*, folder: Path, measurement: Measurement) -> list[str]:
    import matplotlib as mpl  # noqa: PLC0415  slow to import

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
