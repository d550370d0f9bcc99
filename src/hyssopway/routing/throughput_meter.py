"""Measures the service time and the throughput of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.clock import Clock

EWMA_WEIGHT = 0.1
RATE_WINDOW_S = 1.0


class ThroughputMeter:
    """Tracks how long a request holds a slot and how many requests complete per second.

    Attributes:
        service_s: Moving average of the service time in seconds; 0 before the first completion.
        rate: Completions per second in the last full window.
        count: Completions in the current window.
        window_start: Local time in seconds at which the current window began.
    """

    __slots__ = ("clock", "count", "rate", "service_s", "window_start")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.service_s = 0.0
        self.rate = 0.0
        self.count = 0
        self.window_start = clock()

    def record_completion(self, *, seconds: float) -> None:
        """Records that a request released its slot after `seconds`."""
        self.service_s += (seconds - self.service_s) * (EWMA_WEIGHT if self.service_s else 1.0)
        self.count += 1
        elapsed = self.clock() - self.window_start
        if elapsed >= RATE_WINDOW_S:
            self.rate = self.count / elapsed
            self.count = 0
            self.window_start = self.clock()


__all__ = ["ThroughputMeter"]
