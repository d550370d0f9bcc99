"""Result of one measurement."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, kw_only=True)
class Series:
    """A line of a plot.

    Attributes:
        name: What is shown.
        x_label: Meaning and unit of the first values.
        y_label: Meaning and unit of the second values.
        points: Pairs of values.
    """

    name: str
    x_label: str
    y_label: str
    points: list[tuple[float, float]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Measurement:
    """Figures and plots of one area.

    Attributes:
        area: Area, such as ``agreement``.
        figures: Figures by name; names end in their unit.
        series: Lines to plot, those with equal labels in one plot.
    """

    area: str
    figures: dict[str, float] = field(default_factory=dict)
    series: list[Series] = field(default_factory=list)


__all__ = ["Measurement", "Series"]
