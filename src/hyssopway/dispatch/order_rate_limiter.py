"""Decides how many orders for machines may be sent now.

Answers the load pattern of a turn that begins on a large fleet: a hundred machines are to move within two seconds,
and the platform refuses what exceeds its rate.
"""

from __future__ import annotations

# The rest of the platform's rate is left to maintenance waves and to repeated orders.
RATE_SHARE = 0.75
# Longest time for which unused rate is kept; more would exceed the platform's rate in the next second.
KEEP_S = 0.25


class OrderRateLimiter:
    """Rate limit of one sender of orders.

    Attributes:
        rate_per_s: Orders a second in the long run.
        tokens: Orders that may be sent now.
        counted_at: Local time at which `tokens` was counted.
    """

    __slots__ = ("counted_at", "rate_per_s", "tokens")

    def __init__(self, *, accepted_per_s: float, now: float) -> None:
        self.rate_per_s = accepted_per_s * RATE_SHARE
        self.tokens = max(1.0, self.rate_per_s * KEEP_S)
        self.counted_at = now

    def acquire(self, wanted: int, *, now: float) -> int:
        """Returns how many of the wanted orders may be sent now, and counts them as sent."""
        most = max(1.0, self.rate_per_s * KEEP_S)
        self.tokens = min(most, self.tokens + self.rate_per_s * max(0.0, now - self.counted_at))
        self.counted_at = now
        granted = min(wanted, int(self.tokens))
        self.tokens -= granted
        return granted


__all__ = ["OrderRateLimiter"]
