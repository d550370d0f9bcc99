"""Decides which ends of runs a poll may acknowledge.

A VM numbers its ends anew in each boot and forgets those that are acknowledged. A poll names no boot, so a number of an
earlier boot would make the next one forget ends that no leader has read. Polls that acknowledge ends are therefore few, and
short: one that waits is still unanswered when the VM crashes, and its next boot may carry it out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .order_delay import MAX_ORDER_DELAY_S

if TYPE_CHECKING:
    from .unsettled_calls import UnsettledCalls

# A VM that has restarted needs longer until a run ends on its next boot.
MAX_ANSWER_AGE_S = 0.5


class EndAcknowledgement:
    """Acknowledgement of the ends that one VM lists.

    Attributes:
        vm_id: ID of the VM.
        calls: Polls that acknowledge ends and that the VM may still carry out.
        acknowledged: Number of the last end whose acknowledgement the present boot has answered.
        withheld_until: Local time before which the present boot may forget ends by a poll for the one before.
    """

    __slots__ = ("acknowledged", "calls", "vm_id", "withheld_until")

    def __init__(self, *, vm_id: str, calls: UnsettledCalls) -> None:
        self.vm_id = vm_id
        self.calls = calls
        self.acknowledged = 0
        self.withheld_until = float("-inf")

    def choose(self, *, last_end: int, answer_age_s: float, may_have_restarted: bool) -> int:
        """Returns the number of the last end that the VM may forget; 0 if there is none, or the VM may have restarted.

        In the second case the VM lists its ends again, and a later poll acknowledges them.

        Args:
            last_end: Number of the last committed end of the boot in the record.
            answer_age_s: Seconds since that boot last answered a poll; infinite if it has not answered this leader.
            may_have_restarted: Whether a call got no answer, or one of another boot, since then.
        """
        if may_have_restarted or answer_age_s > MAX_ANSWER_AGE_S:
            self.acknowledged = 0
            return 0
        return last_end if last_end > self.acknowledged else 0

    def record_sent(self, *, now: float) -> int:
        """Records that a poll which acknowledges ends is being sent and returns its number."""
        return self.calls.record_sent(vm=self.vm_id, now=now)

    def record_settled(self, number: int, *, last_end: int) -> None:
        """Records that such a poll was answered, or was not sent.

        Args:
            number: Number of the poll.
            last_end: Number of the end that the present boot has acknowledged with its answer; 0 if it has not answered.
        """
        self.calls.record_settled(number, vm=self.vm_id)
        self.acknowledged = max(self.acknowledged, last_end)

    def replace_boot(self, *, former_leader_ended_at: float, now: float) -> bool:
        """Begins anew for the next boot of the VM, and returns whether that one may forget ends for longer than known.

        Args:
            former_leader_ended_at: Local time until which former leaders may have acknowledged ends of the boot before.
            now: Local time.
        """
        self.acknowledged = 0
        last_sent_at = max(self.calls.find_last(self.vm_id, now=now), former_leader_ended_at)
        earlier, self.withheld_until = self.withheld_until, last_sent_at + MAX_ORDER_DELAY_S
        return self.withheld_until > max(now, earlier)

    def release(self, *, now: float) -> float:
        """Records that the present boot forgets no more ends by polls for earlier ones.

        Returns:
            By how many seconds it would have been withheld for longer.
        """
        withheld_s = max(0.0, self.withheld_until - now)
        self.withheld_until = min(self.withheld_until, now)
        return withheld_s


__all__ = ["EndAcknowledgement"]
