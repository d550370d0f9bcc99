"""Estimates the round-trip time of orders to choose how soon an unanswered order is retried.

A timeout that is too long delays tasks on VMs that leave a share of all orders unanswered. One that is too short hurts
at peak load: a leader sends hundreds of orders at once, so answers take long although none is lost, and needless
retries take the CPU time that the answers need.

The estimator is that of TCP's retransmission timeout (RFC 6298), over the orders of one leader to all VMs.
"""

from __future__ import annotations

MIN_TIMEOUT_S = 0.04
MAX_TIMEOUT_S = 0.5
# An order is retried for about this long; a start that is still unanswered is then resolved by a stop.
RETRY_WINDOW_S = 1.0
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATION_FACTOR = 4.0
# Used until the first answer.
INITIAL_MEAN_S = 0.01
INITIAL_DEVIATION_S = 0.0125


class RttEstimator:
    """Smoothed round-trip time of orders and its deviation.

    Attributes:
        mean_s: Smoothed round-trip time.
        deviation_s: Smoothed absolute deviation from `mean_s`.
    """

    __slots__ = ("deviation_s", "mean_s")

    def __init__(self) -> None:
        self.mean_s = INITIAL_MEAN_S
        self.deviation_s = INITIAL_DEVIATION_S

    def record_rtt(self, *, rtt_s: float) -> None:
        """Records the round-trip time of an answered order."""
        distance_s = abs(self.mean_s - rtt_s)
        self.deviation_s += DEVIATION_GAIN * (distance_s - self.deviation_s)
        self.mean_s += MEAN_GAIN * (rtt_s - self.mean_s)

    def choose_timeouts(self) -> list[float]:
        """Returns the timeout of each attempt to send an order, in seconds, with exponential backoff."""
        timeout_s = max(MIN_TIMEOUT_S, self.mean_s + DEVIATION_FACTOR * self.deviation_s)
        timeouts: list[float] = []
        while sum(timeouts) < RETRY_WINDOW_S:
            timeouts.append(min(timeout_s, MAX_TIMEOUT_S))
            timeout_s *= 2
        return timeouts


__all__ = ["RttEstimator"]
