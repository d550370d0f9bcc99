"""Quantiles of the ratio of actual to declared run durations.

Addresses declared durations that are off by up to 0.9, each by another factor: a mean does not say when a run has lasted
unusually long.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque

# Latest runs of a queue that are considered.
WINDOW = 200
# With fewer runs, the highest one is below the true 0.95 quantile in three of ten cases.
MIN_RUNS = 24
# Queues beyond this number are forgotten, those whose first run was recorded first.
MAX_QUEUES = 200


class DurationQuantiles:
    """Learns the distribution of the ratio of actual to declared run durations of each queue.

    Attributes:
        latest: Latest ratios by queue, oldest first.
        ordered: The same ratios in ascending order.
    """

    __slots__ = ("latest", "ordered")

    def __init__(self) -> None:
        self.latest: dict[str, deque[float]] = {}
        self.ordered: dict[str, list[float]] = {}

    def add(self, queue: str, *, declared_ms: float, actual_ms: float) -> None:
        """Adds a run that completed; durations in milliseconds."""
        if declared_ms <= 0:
            return
        if queue not in self.latest:
            self.latest[queue], self.ordered[queue] = deque(), []
            if len(self.latest) > MAX_QUEUES:
                oldest = next(iter(self.latest))
                del self.latest[oldest], self.ordered[oldest]
        ratio = actual_ms / declared_ms
        latest, ordered = self.latest[queue], self.ordered[queue]
        latest.append(ratio)
        insort(ordered, ratio)
        if len(latest) > WINDOW:
            del ordered[bisect_left(ordered, latest.popleft())]

    def read(self, queue: str, *, share: float) -> float | None:
        """Returns the ratio that a share of the runs of a queue do not exceed; None while too few have completed."""
        ordered = self.ordered.get(queue, ())
        if len(ordered) < MIN_RUNS:
            return None
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


__all__ = ["MIN_RUNS", "WINDOW", "DurationQuantiles"]
