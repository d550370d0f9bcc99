"""Limits the rate of orders for machines with a token bucket.

When a burst begins on a large fleet, a hundred machines have to move within two seconds, and the platform refuses
orders that exceed its rate limit.
"""

from __future__ import annotations

# Leaves the rest of the platform's rate to maintenance waves and retried orders.
RATE_SHARE = 0.75
# Size of the bucket as a time at the full rate; a larger one would exceed the platform's rate in the next second.
BURST_S = 0.25


class OrderRateLimiter:
    """Token bucket of one sender of orders.

    Attributes:
        rate_per_s: Tokens added per second; the long-run rate of orders.
        tokens: Orders that may be sent now.
        updated_at: Local time at which `tokens` was updated.
    """

    __slots__ = ("rate_per_s", "tokens", "updated_at")

    def __init__(self, *, accepted_per_s: float, now: float) -> None:
        self.rate_per_s = accepted_per_s * RATE_SHARE
        self.tokens = max(1.0, self.rate_per_s * BURST_S)
        self.updated_at = now

    def acquire(self, wanted: int, *, now: float) -> int:
        """Returns how many of the wanted orders may be sent now and takes that many tokens."""
        capacity = max(1.0, self.rate_per_s * BURST_S)
        self.tokens = min(capacity, self.tokens + self.rate_per_s * max(0.0, now - self.updated_at))
        self.updated_at = now
        granted = min(wanted, int(self.tokens))
        self.tokens -= granted
        return granted


__all__ = ["OrderRateLimiter"]
