"""Regression of the tail latency of one latency-bound image on the paces of its best-effort neighbours."""

from __future__ import annotations

from math import exp, log, sqrt
from typing import TYPE_CHECKING

from .pair_estimate import PairEstimate

if TYPE_CHECKING:
    from collections.abc import Mapping

# Weight of a reading halves in this time: long enough for a dozen readings of one VM, and short enough that a pair whose
# interference has ended is placed together again within a minute.
HALF_LIFE_S = 10.0
# Ridge penalty of the terms; keeps a term near 0 with a large error while its exposure has not varied.
PENALTY = 0.05
# Standard deviation of the logarithm of a reading that is assumed before there are readings, and the number of readings
# for which it counts.
PRIOR_DEVIATION = 0.2
PRIOR_READINGS = 4.0
MAX_NEIGHBOURS = 8
# Pivots below this are rounding errors of sums of order 1.
MIN_PIVOT = 1e-9
# Bounds the processor time for solutions; readings of one VM arrive about as often.
SOLUTION_AGE_S = 0.25


class ImageInterference:
    """Readings of one latency-bound image, and the estimates for its neighbours.

    Attributes:
        pairs: Estimates by best-effort image, in the order of the exposures in `moments`.
        moments: Weighted sums of the products of (1, logarithm of the tail, exposures).
        updated_at: Local time in seconds that the weights refer to.
        solved_at: Local time in seconds of the last solution.
        baseline_ms: Estimated tail latency without neighbours, in milliseconds; None before the first reading.
    """

    __slots__ = ("baseline_ms", "moments", "pairs", "solved_at", "updated_at")

    def __init__(self, *, now: float) -> None:
        self.pairs: dict[str, PairEstimate] = {}
        self.moments = [[0.0, 0.0], [0.0, 0.0]]
        self.updated_at = now
        self.solved_at = float("-inf")
        self.baseline_ms: float | None = None

    def touch(self, image: str, *, now: float) -> PairEstimate:
        """Returns the estimate of a neighbour, after evicting the one not seen for longest if there are too many."""
        pair = self.pairs.get(image)
        if pair is not None:
            pair.seen_at = now
            return pair
        if len(self.pairs) >= MAX_NEIGHBOURS:
            self._evict(min(self.pairs, key=lambda name: self.pairs[name].seen_at))
        for row in self.moments:
            row.append(0.0)
        self.moments.append([0.0] * len(self.moments[0]))
        pair = self.pairs[image] = PairEstimate(seen_at=now)
        return pair

    def add(self, *, tail_ms: int, exposures: Mapping[str, float], weight: float, now: float) -> None:
        """Adds a reading; exposures are sums of paces by best-effort image, 1.0 for one run at full pace."""
        for image in exposures:
            self.touch(image, now=now)
        self._decay(now)
        values = [1.0, log(tail_ms), *(exposures.get(image, 0.0) for image in self.pairs)]
        for row, left in zip(self.moments, values, strict=True):
            if left:
                for column, right in enumerate(values):
                    row[column] += weight * left * right

    def solve(self, *, now: float) -> None:
        """Updates the estimates of all pairs, at most four times a second."""
        if now - self.solved_at < SOLUTION_AGE_S:
            return
        self.solved_at = now
        self._decay(now)
        readings = self.moments[0][0]
        if readings <= 0:
            return
        terms = [0, *range(2, len(self.moments))]
        matrix = [[self.moments[i][j] + (PENALTY if i == j and i else 0.0) for j in terms] for i in terms]
        inverse = _invert(matrix)
        if inverse is None:
            return
        products = [self.moments[i][1] for i in terms]
        solution = [sum(a * b for a, b in zip(row, products, strict=True)) for row in inverse]
        self.baseline_ms = exp(solution[0])
        squares = self.moments[1][1] - sum(a * b for a, b in zip(solution, products, strict=True))
        prior = PRIOR_READINGS * PRIOR_DEVIATION**2
        variance = (max(0.0, squares) + prior) / (readings + PRIOR_READINGS)
        for number, pair in enumerate(self.pairs.values(), start=1):
            pair.assess(
                rise=solution[number],
                error=sqrt(variance * inverse[number][number]),
                readings=self.moments[0][number + 1],
            )

    def _decay(self, now: float) -> None:
        if now <= self.updated_at:
            return  # another reading of the same poll
        factor = 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)
        self.updated_at = now
        for row in self.moments:
            row[:] = [value * factor for value in row]

    def _evict(self, image: str) -> None:
        position = 2 + list(self.pairs).index(image)
        del self.pairs[image]
        del self.moments[position]
        for row in self.moments:
            del row[position]


def _invert(matrix: list[list[float]]) -> list[list[float]] | None:
    """Returns the inverse of a positive definite matrix, or None when its sums have decayed to nearly nothing."""
    size = len(matrix)
    rows = [[*row, *(float(i == j) for j in range(size))] for i, row in enumerate(matrix)]
    for pivot in range(size):
        scale = rows[pivot][pivot]
        if scale < MIN_PIVOT:
            return None
        rows[pivot] = [value / scale for value in rows[pivot]]
        for other in range(size):
            factor = rows[other][pivot]
            if other != pivot and factor:
                rows[other] = [a - factor * b for a, b in zip(rows[other], rows[pivot], strict=True)]
    return [row[size:] for row in rows]


__all__ = ["MAX_NEIGHBOURS", "ImageInterference"]
