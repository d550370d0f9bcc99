"""Decides how long a look at a VM may take.

Answers the load pattern of VMs that leave a share of all calls unanswered for some seconds: an end that is seen a
second late holds up the next step and keeps its room from waiting work.
"""

from __future__ import annotations

from dataclasses import dataclass

CALM_WAIT_MS = 500
# A look answers after its wait at the latest; the rest is for the way and a busy VM.
CALM_MARGIN_S = 0.35
# How long looks stay short after one without an answer.
UNSTABLE_S = 5.0
UNSURE_WAIT_MS = 200
# Margins by the number of looks lost in a row: a VM that is slow must get a look that lasts until its answer.
UNSURE_MARGINS_S = (0.15, 0.25, 0.35)


@dataclass(frozen=True, slots=True, kw_only=True)
class PollTimes:
    """Times of one look.

    Attributes:
        wait_ms: How long the VM waits for an end before it answers.
        timeout_s: Longest wait for the answer.
    """

    wait_ms: int
    timeout_s: float


class PollTiming:
    """Chooses the times of the looks at one VM.

    Attributes:
        lost: Looks without an answer since the last one with an answer.
        lost_at: Local time of the last look without an answer.
    """

    __slots__ = ("lost", "lost_at")

    def __init__(self) -> None:
        self.lost = 0
        self.lost_at = float("-inf")

    def note_answered(self) -> None:
        """Takes in an answer."""
        self.lost = 0

    def note_lost(self, *, now: float) -> None:
        """Takes in a look without an answer."""
        self.lost += 1
        self.lost_at = now

    def choose(self, *, now: float, has_acked_term: bool) -> PollTimes:
        """Chooses the times of the next look.

        Args:
            now: Local time.
            has_acked_term: Whether the VM is known to follow this leader; otherwise its list is wanted at once.
        """
        if now - self.lost_at >= UNSTABLE_S:
            wait_ms, margin_s = CALM_WAIT_MS, CALM_MARGIN_S
        else:
            wait_ms = UNSURE_WAIT_MS
            margin_s = UNSURE_MARGINS_S[min(self.lost, len(UNSURE_MARGINS_S) - 1)]
        if not has_acked_term:
            wait_ms = 0
        return PollTimes(wait_ms=wait_ms, timeout_s=wait_ms / 1000 + margin_s)


__all__ = ["UNSTABLE_S", "PollTimes", "PollTiming"]
