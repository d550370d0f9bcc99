"""Measures how fast a service takes requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.clock import Clock

SMOOTHING = 0.1
RATE_WINDOW_S = 1.0


class Drain:
    """Mean time that a request holds a slot, and requests ended a second.

    Attributes:
        service_s: Mean time; 0 before the first request.
        rate: Requests a second in the last whole window.
    """

    __slots__ = ("clock", "count", "rate", "service_s", "window_at")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.service_s = 0.0
        self.rate = 0.0
        self.count = 0
        self.window_at = clock()

    def ended(self, *, seconds: float) -> None:
        """Records that a request gave its slot back."""
        self.service_s += (seconds - self.service_s) * (SMOOTHING if self.service_s else 1.0)
        self.count += 1
        passed = self.clock() - self.window_at
        if passed >= RATE_WINDOW_S:
            self.rate = self.count / passed
            self.count = 0
            self.window_at = self.clock()


__all__ = ["Drain"]
