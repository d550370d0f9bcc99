"""Decides after how long an order without an answer is repeated.

Answers two load patterns: VMs that leave a share of all orders unanswered, where each wait makes tasks late; and a
leader at the peak of a turn that sends hundreds of orders at once, so that answers take long though none is lost, and
orders repeated too early take the processor time that the answers need.

The estimate is that of TCP's retransmission timeout (RFC 6298), over the orders of one leader to all VMs.
"""

from __future__ import annotations

MIN_TIMEOUT_S = 0.04
MAX_TIMEOUT_S = 0.5
# An order is repeated for about this long; what has no answer then is settled by a stop.
RETRY_WINDOW_S = 1.0
MEAN_SHARE = 1 / 8
DEVIATION_SHARE = 1 / 4
DEVIATIONS = 4.0
# Before the first answer.
START_MEAN_S = 0.01
START_DEVIATION_S = 0.0125


class RttEstimator:
    """Times that answers to orders take.

    Attributes:
        mean_s: Smoothed time.
        deviation_s: Smoothed distance from it.
    """

    __slots__ = ("deviation_s", "mean_s")

    def __init__(self) -> None:
        self.mean_s = START_MEAN_S
        self.deviation_s = START_DEVIATION_S

    def record_rtt(self, *, rtt_s: float) -> None:
        """Takes in how long an answer took."""
        distance_s = abs(self.mean_s - rtt_s)
        self.deviation_s += DEVIATION_SHARE * (distance_s - self.deviation_s)
        self.mean_s += MEAN_SHARE * (rtt_s - self.mean_s)

    def choose_timeouts(self) -> list[float]:
        """Returns the longest wait for an answer at each try of an order, in seconds."""
        wait_s = max(MIN_TIMEOUT_S, self.mean_s + DEVIATIONS * self.deviation_s)
        timeouts: list[float] = []
        while sum(timeouts) < RETRY_WINDOW_S:
            timeouts.append(min(wait_s, MAX_TIMEOUT_S))
            wait_s *= 2
        return timeouts


__all__ = ["RttEstimator"]
