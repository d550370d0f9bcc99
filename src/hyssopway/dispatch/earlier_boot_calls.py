"""Waits for calls that were meant for earlier boots of a VM and that its present boot may carry out late.

Such a call may give the present boot the longest lease, or make it forget ends that nobody has read. The first answer to a
poll with the token of the present boot shows that it carries out none of them from then on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event

from .run_expiry import find_former_lease_expiry

if TYPE_CHECKING:
    from .boot_fence import BootFence
    from .end_acknowledgement import EndAcknowledgement
    from .leadership import Leadership
    from .lease import VmLease
    from .next_boot_lease import NextBootLease


class EarlierBootCalls:
    """Waits for the calls to earlier boots of one VM.

    Attributes:
        vm_id: ID of the VM.
        leadership: Term in which this process leads.
        fence: Fencing token of the calls to the VM.
        lease: Lease of the VM's runs.
        acknowledgement: Acknowledges the ends that the VM lists.
        next_boot: Lease that calls for the present boot may give to the next one.
    """

    __slots__ = ("acknowledgement", "fence", "leadership", "lease", "next_boot", "vm_id")

    def __init__(
        self,
        *,
        vm_id: str,
        leadership: Leadership,
        fence: BootFence,
        lease: VmLease,
        acknowledgement: EndAcknowledgement,
        next_boot: NextBootLease,
    ) -> None:
        self.vm_id = vm_id
        self.leadership = leadership
        self.fence = fence
        self.lease = lease
        self.acknowledgement = acknowledgement
        self.next_boot = next_boot

    def begin_boot(self, *, is_first: bool) -> None:
        """Begins to wait for the calls to the boot that has ended.

        Args:
            is_first: Whether this leader has polled no boot of the VM before.
        """
        self.fence.begin_boot()
        self.lease.replace_boot(expires_at=self._find_lease_expiry())
        self.next_boot.clear()
        self._withhold(is_first=is_first)

    def record_answer(self, token: int, *, now: float) -> None:
        """Shortens all waits at the first answer of the present boot to a poll with its own token.

        Args:
            token: Token of a poll that the boot has answered.
            now: Local time. The boot may have carried out a call for an earlier one until then.
        """
        if not self.fence.record_answer(token):
            return
        shortened_s = self.lease.limit_inherited(at=now, longest_s=self.next_boot.longest_s)
        withheld_s = self.acknowledgement.release(now=now)
        if shortened_s or withheld_s:
            log_event(
                Event.BOOT_FENCED,
                vm=self.vm_id,
                token=token,
                lease_ms=round((self.lease.expires_at - now) * 1000),
                shortened_ms=round(shortened_s * 1000),
                withheld_ms=round(withheld_s * 1000),
            )

    def _find_lease_expiry(self) -> float:
        """Returns when the leases expire that the present boot may hold by calls for earlier ones, of any leader."""
        # A boot change that a former leader has committed may be applied only after the link was made.
        former = find_former_lease_expiry(
            self.leadership,
            vm_id=self.vm_id,
            length_s=self.lease.length_s,
            longest_s=self.next_boot.longest_s,
        )
        return max(former, self.next_boot.find_latest_expiry())

    def _withhold(self, *, is_first: bool) -> None:
        now, started_at = self.leadership.clock(), self.leadership.started_at
        changed_at = self.leadership.state.observed.find_boot_change(self.vm_id)
        # Former leaders acknowledged ends of the boot before until it was replaced, or until their terms ended.
        former = min(changed_at, started_at) if is_first else started_at
        if self.acknowledgement.replace_boot(former_leader_ended_at=former, now=now):
            withheld_s = self.acknowledgement.withheld_until - now
            log_event(Event.VM_WITHHELD, vm=self.vm_id, withheld_ms=round(withheld_s * 1000))


__all__ = ["EarlierBootCalls"]
