"""Decides how long the next look at a VM waits after one that brought ends.

Answers the load pattern of a turn at its peak on hundreds of VMs: ends follow each other so quickly that each look
brings one of them, and the looks take the processor time that starts need. A short pause lets a look bring several.
"""

from __future__ import annotations

import math

# About a quarter of the processor time of one core.
FREE_LOOKS_PER_S = 400.0
# An end is seen later by half of this in the mean; short tasks last some 600 ms.
MAX_PAUSE_S = 0.06
# Time over which the rate of looks is measured.
WINDOW_S = 0.3


class PollRateLimiter:
    """Rate of the looks of one leader at all VMs.

    Attributes:
        rate_per_s: Looks a second at `counted_at`.
        counted_at: Local time of the last look.
    """

    __slots__ = ("counted_at", "rate_per_s")

    def __init__(self) -> None:
        self.rate_per_s = 0.0
        self.counted_at = float("-inf")

    def record_poll(self, *, now: float) -> None:
        """Takes in an answered look."""
        self.rate_per_s = self.rate_per_s * math.exp((self.counted_at - now) / WINDOW_S) + 1 / WINDOW_S
        self.counted_at = now

    def compute_pause_s(self) -> float:
        """Returns the pause after a look that brought ends, in seconds."""
        excess = self.rate_per_s / FREE_LOOKS_PER_S - 1
        return MAX_PAUSE_S * min(1.0, max(0.0, excess))


__all__ = ["PollRateLimiter"]
