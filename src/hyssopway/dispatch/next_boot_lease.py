"""Bounds the lease that the next boot of a VM may hold by calls that were meant for the present one.

A call names the VM and not its boot, and the clock of a VM starts anew with each boot. The end of a lease on the
present clock lies far ahead of the next one, so that the next boot takes the longest lease that it accepts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .lease import lease_expiry
from .order_delay import MAX_ORDER_DELAY_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from .unsettled_calls import UnsettledCalls


class NextBootLease:
    """Upper bound on the leases that calls for the present boot of a VM give to the next one.

    Attributes:
        vm_id: ID of the VM.
        clock: Local monotonic clock, in seconds.
        longest_s: Longest lease that the VM accepts, in seconds.
        calls: Calls with a lease that the VM may still carry out.
        expires_at: Local time after which no such lease is held; negative infinity if none can be held. Until the next boot
            has answered, it holds only if each call was carried out before its timeout.
        extended_at: Local time at which `expires_at` was last extended.
        has_answered: Whether the next boot has answered a call, so that it may carry out every late one.
    """

    __slots__ = ("calls", "clock", "expires_at", "extended_at", "has_answered", "longest_s", "vm_id")

    def __init__(
        self, *, vm_id: str, clock: Callable[[], float], longest_s: float, calls: UnsettledCalls
    ) -> None:
        self.vm_id = vm_id
        self.clock = clock
        self.longest_s = longest_s
        self.calls = calls
        self.expires_at = self.extended_at = float("-inf")
        self.has_answered = False

    def record_sent(self) -> int:
        """Records that a call with a lease is being sent and returns its number."""
        return self.calls.record_sent(vm=self.vm_id, now=self.clock())

    def record_settled(self, number: int) -> None:
        """Records that a call was answered, or was not sent."""
        self.calls.record_settled(number, vm=self.vm_id)

    def record_listing(self, *, sent_at: float) -> None:
        """Records that the present boot answered a poll, so that no next one had taken an earlier call by then.

        Args:
            sent_at: Local time at which the poll was sent.
        """
        if self.extended_at < sent_at:
            self.clear()

    def record_loss(self) -> None:
        """Records that a call got no answer; the next boot may have carried it out."""
        self._extend(self.longest_s)

    def record_former_leader(self, *, ended_at: float) -> None:
        """Records that a former leader may have sent calls to an earlier boot until a local time."""
        if self.clock() - ended_at <= MAX_ORDER_DELAY_S:
            late = lease_expiry(granted_at=ended_at + MAX_ORDER_DELAY_S, length_s=self.longest_s)
            self.expires_at = max(self.expires_at, late)

    def record_grant(self, *, until_ms: int, clock_ms: int | None) -> None:
        """Records that the next boot took a lease.

        Args:
            until_ms: End of the lease in the call.
            clock_ms: Clock of the VM in its answer; None if it is unknown.
        """
        self.has_answered = True
        granted_s = self.longest_s if clock_ms is None else (until_ms - clock_ms) / 1000
        self._extend(min(granted_s, self.longest_s))

    def find_latest_expiry(self) -> float:
        """Returns when the last lease expires if calls without an answer are carried out as late as possible."""
        last_sent_at = self.calls.find_last(self.vm_id, now=self.clock())
        late = lease_expiry(granted_at=last_sent_at + MAX_ORDER_DELAY_S, length_s=self.longest_s)
        return max(self.expires_at, late)

    def clear(self) -> None:
        """Discards what is known of the next boot."""
        self.expires_at = float("-inf")
        self.has_answered = False

    def _extend(self, length_s: float) -> None:
        self.extended_at = self.clock()
        expires_at = lease_expiry(granted_at=self.extended_at, length_s=length_s)
        self.expires_at = max(self.expires_at, expires_at)
        if self.has_answered:
            self.expires_at = self.find_latest_expiry()


__all__ = ["NextBootLease"]
