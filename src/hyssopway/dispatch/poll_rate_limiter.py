"""Limits the rate at which a leader polls VMs whose runs end in quick succession.

At peak load on hundreds of VMs, runs end so quickly that each poll returns a single end, and the polls take the CPU
time that starts need. A short pause after such a poll lets the next one return several ends.
"""

from __future__ import annotations

import math

# Polls at this rate take about a quarter of the time of one CPU core.
UNLIMITED_POLLS_PER_S = 400.0
# Delays the detection of an end by half of this on average; short tasks take about 600 ms.
MAX_PAUSE_S = 0.06
# Time constant of the exponentially decaying average of the poll rate.
WINDOW_S = 0.3


class PollRateLimiter:
    """Measures the rate of a leader's polls over all VMs.

    Attributes:
        rate_per_s: Average number of polls per second, as of `updated_at`.
        updated_at: Local time of the last poll.
    """

    __slots__ = ("rate_per_s", "updated_at")

    def __init__(self) -> None:
        self.rate_per_s = 0.0
        self.updated_at = float("-inf")

    def record_poll(self, *, now: float) -> None:
        """Records an answered poll."""
        self.rate_per_s = self.rate_per_s * math.exp((self.updated_at - now) / WINDOW_S) + 1 / WINDOW_S
        self.updated_at = now

    def compute_pause_s(self) -> float:
        """Returns the pause after a poll that returned ends, in seconds."""
        excess = self.rate_per_s / UNLIMITED_POLLS_PER_S - 1
        return MAX_PAUSE_S * min(1.0, max(0.0, excess))


__all__ = ["PollRateLimiter"]
