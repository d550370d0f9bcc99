"""Result of one measurement."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, kw_only=True)
class Series:
    """A line of a plot.

    Attributes:
        name: Label of the line.
        x_label: Quantity and unit of the x axis.
        y_label: Quantity and unit of the y axis.
        points: Pairs of x and y.
    """

    name: str
    x_label: str
    y_label: str
    points: list[tuple[float, float]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Measurement:
    """Measured values and plots of one area.

    Attributes:
        area: Name of the area, such as ``agreement``.
        figures: Measured values by name; a name ends in its unit.
        series: Lines to plot; lines with equal axis labels share a plot.
    """

    area: str
    figures: dict[str, float] = field(default_factory=dict)
    series: list[Series] = field(default_factory=list)


__all__ = ["Measurement", "Series"]
