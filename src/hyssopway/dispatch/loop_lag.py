"""Measures how late the event loop of a leader runs its callbacks.

All decisions, orders and answers of a leader share one event loop. When it has more to do than its processor time allows,
everything is late at once, and answers that have arrived wait to be read.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.clock import Clock

SAMPLE_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True, kw_only=True)
class LoopLag:
    """Lag of the event loop in one interval, in milliseconds.

    Attributes:
        mean_ms: Mean delay of a callback that is due.
        max_ms: Largest delay.
    """

    mean_ms: int
    max_ms: int


class LoopLagMeter:
    """Samples the lag by sleeping for short times.

    Attributes:
        clock: Local monotonic clock, in seconds.
        total_s: Sum of the samples since the last report.
        max_s: Largest of them.
        count: Number of them.
    """

    __slots__ = ("clock", "count", "max_s", "total_s")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.total_s = 0.0
        self.max_s = 0.0
        self.count = 0

    async def run(self) -> None:
        """Samples the lag until it is cancelled."""
        while True:
            slept_at = self.clock()
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self.record(self.clock() - slept_at - SAMPLE_INTERVAL_S)

    def record(self, lag_s: float) -> None:
        """Records one sample in seconds."""
        lag_s = max(0.0, lag_s)
        self.total_s += lag_s
        self.max_s = max(self.max_s, lag_s)
        self.count += 1

    def take(self) -> LoopLag:
        """Returns the lag since the last call."""
        mean_s = self.total_s / self.count if self.count else 0.0
        lag = LoopLag(mean_ms=round(mean_s * 1000), max_ms=round(self.max_s * 1000))
        self.total_s = self.max_s = 0.0
        self.count = 0
        return lag


__all__ = ["LoopLag", "LoopLagMeter"]
