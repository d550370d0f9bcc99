"""Ratio of actual to declared run durations."""

from __future__ import annotations

# Weight of the prior ratio 1, in runs.
PRIOR_RUNS = 20.0
MIN_SCALE = 0.2
MAX_SCALE = 5.0


class DurationScale:
    """Learns the ratio of actual to declared run durations of each queue.

    Attributes:
        sums: Total declared and actual milliseconds of the runs that completed, by queue.
        counts: Number of these runs by queue.
    """

    __slots__ = ("counts", "sums")

    def __init__(self) -> None:
        self.sums: dict[str, tuple[float, float]] = {}
        self.counts: dict[str, int] = {}

    def add(self, queue: str, *, declared_ms: float, actual_ms: float) -> None:
        """Adds a run that completed; durations in milliseconds."""
        declared, actual = self.sums.get(queue, (0.0, 0.0))
        self.sums[queue] = (declared + declared_ms, actual + actual_ms)
        self.counts[queue] = self.counts.get(queue, 0) + 1

    def read(self, queue: str) -> float:
        """Returns the factor from declared to actual durations; near 1 while few runs of the queue have completed."""
        declared, actual = self.sums.get(queue, (0.0, 0.0))
        count = self.counts.get(queue, 0)
        if not declared:
            return 1.0
        prior = PRIOR_RUNS * declared / count
        return min(MAX_SCALE, max(MIN_SCALE, (actual + prior) / (declared + prior)))


__all__ = ["DurationScale"]
