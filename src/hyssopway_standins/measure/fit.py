"""Linear regression over measured points."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True, slots=True, kw_only=True)
class Fit:
    """A line ``base + slope * x``.

    Attributes:
        base: Value at x = 0.
        slope: Increase per unit of x.
        error: Largest distance of a point from the line, as a fraction of the largest value.
    """

    base: float
    slope: float
    error: float

    def at(self, x: float) -> float:
        """Returns the value of the line at x."""
        return self.base + self.slope * x


def fit_line(points: Sequence[tuple[float, float]]) -> Fit:
    """Fits a line by least squares."""
    x, y = np.array(points, dtype=float).T
    slope, base = np.polyfit(x, y, 1)
    distance = float(np.max(np.abs(base + slope * x - y)))
    largest = float(np.max(np.abs(y))) or 1.0
    return Fit(base=float(base), slope=float(slope), error=distance / largest)


__all__ = ["Fit", "fit_line"]
