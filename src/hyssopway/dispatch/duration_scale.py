"""Learns how far declared durations are off."""

from __future__ import annotations

# Weight of a declared duration before anything is known, in task runs.
PRIOR_RUNS = 20.0
MIN_SCALE = 0.2
MAX_SCALE = 5.0


class DurationScale:
    """Ratio of real to declared work by queue.

    Attributes:
        sums: Declared and real milliseconds of the runs that ended done, by queue.
        counts: Number of these runs by queue.
    """

    __slots__ = ("counts", "sums")

    def __init__(self) -> None:
        self.sums: dict[str, tuple[float, float]] = {}
        self.counts: dict[str, int] = {}

    def add(self, queue: str, *, declared_ms: float, actual_ms: float) -> None:
        """Takes in a run that ended done."""
        declared, real = self.sums.get(queue, (0.0, 0.0))
        self.sums[queue] = (declared + declared_ms, real + actual_ms)
        self.counts[queue] = self.counts.get(queue, 0) + 1

    def read(self, queue: str) -> float:
        """Returns the factor from declared to real work; near 1 while little is known."""
        declared, real = self.sums.get(queue, (0.0, 0.0))
        count = self.counts.get(queue, 0)
        if not declared:
            return 1.0
        prior = PRIOR_RUNS * declared / count
        return min(MAX_SCALE, max(MIN_SCALE, (real + prior) / (declared + prior)))


__all__ = ["DurationScale"]
