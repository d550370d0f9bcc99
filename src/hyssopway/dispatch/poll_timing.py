"""Chooses the wait and the timeout of each poll of a VM.

After an unanswered poll the next ones are short: a VM may leave a share of all calls unanswered for some seconds, and
a run's end that is seen a second late delays the next step and keeps its capacity from waiting tasks.
"""

from __future__ import annotations

from dataclasses import dataclass

STABLE_WAIT_MS = 500
# A poll is answered after its wait at the latest; the margin covers the network and a busy VM.
STABLE_MARGIN_S = 0.35
# Polls stay short for this long after an unanswered one.
UNSTABLE_S = 5.0
UNSTABLE_WAIT_MS = 200
# Margins by the number of consecutive unanswered polls; they grow so that a slow VM has time to answer. One is long, so
# that a VM that takes about a second for each answer keeps its lease; the next is short again, so that the end of the
# lease of a VM that is gone is noticed as soon as without it.
UNSTABLE_MARGINS_S = (0.15, 0.25, 0.35, 0.9, 0.35)
# Longest timeout of a poll.
MAX_POLL_S = max(STABLE_WAIT_MS / 1000 + STABLE_MARGIN_S, UNSTABLE_WAIT_MS / 1000 + max(UNSTABLE_MARGINS_S))


@dataclass(frozen=True, slots=True, kw_only=True)
class PollTimes:
    """Wait and timeout of one poll.

    Attributes:
        wait_ms: How long the VM waits for a run to end before it answers.
        timeout_s: How long the leader waits for the answer.
    """

    wait_ms: int
    timeout_s: float


class PollTiming:
    """Chooses the times of the polls of one VM.

    Attributes:
        consecutive_losses: Unanswered polls since the last answered one.
        lost_at: Local time of the last unanswered poll.
    """

    __slots__ = ("consecutive_losses", "lost_at")

    def __init__(self) -> None:
        self.consecutive_losses = 0
        self.lost_at = float("-inf")

    def record_answer(self) -> None:
        """Records an answered poll."""
        self.consecutive_losses = 0

    def record_loss(self, *, now: float) -> None:
        """Records an unanswered poll."""
        self.consecutive_losses += 1
        self.lost_at = now

    def choose_times(self, *, now: float, has_acked_term: bool, acknowledges: bool = False) -> PollTimes:
        """Returns the times of the next poll.

        Args:
            now: Local time.
            has_acked_term: Whether the VM has acknowledged this leader's term; if not, it is asked to answer at once.
            acknowledges: Whether the poll acknowledges ends; it is then to be answered at once as well.
        """
        if now - self.lost_at >= UNSTABLE_S:
            wait_ms, margin_s = STABLE_WAIT_MS, STABLE_MARGIN_S
        else:
            wait_ms = UNSTABLE_WAIT_MS
            margin_s = UNSTABLE_MARGINS_S[min(self.consecutive_losses, len(UNSTABLE_MARGINS_S) - 1)]
        if acknowledges or not has_acked_term:
            wait_ms = 0
        return PollTimes(wait_ms=wait_ms, timeout_s=wait_ms / 1000 + margin_s)


__all__ = ["MAX_POLL_S", "UNSTABLE_S", "PollTimes", "PollTiming"]
