"""Fencing tokens that tell the calls for one boot of a VM from those for the boots before.

A call names the ID of a VM and not its boot, and may be carried out seconds late by the boot that follows. A VM does nothing
for a lower token than the highest that it has seen, and its next boot has seen none. So the token of a leader's calls rises
with each boot of the VM that it notices: the first answer to a call with the new token proves that the VM carries out none of
the earlier calls any more.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from hyssopway.workflow import BOOT_FENCES_VERSION

if TYPE_CHECKING:
    from .boot_counts import BootCounts
    from .leadership import Leadership

# Low bits of a token, which count boots; the term of the leader is above them.
BOOT_BITS: Final = 20
MAX_BOOTS: Final = (1 << BOOT_BITS) - 1


class BootFence:
    """Fencing token of one leader's calls to one VM.

    Attributes:
        vm_id: ID of the VM.
        leadership: Term in which the calls are sent.
        counts: Boots of all VMs that this leader has noticed.
        earlier_token: Highest token of the calls that were meant for earlier boots.
        answered_token: Highest token of a poll that the present boot has answered; 0 if it has answered none.
    """

    __slots__ = ("answered_token", "counts", "earlier_token", "leadership", "vm_id")

    def __init__(self, *, vm_id: str, leadership: Leadership, counts: BootCounts) -> None:
        self.vm_id = vm_id
        self.leadership = leadership
        self.counts = counts
        self.earlier_token = self.token
        self.answered_token = 0

    @property
    def token(self) -> int:
        """Fencing token of calls to the present boot.

        It is the term alone while members of a release before may lead next, since the VM would refuse their lower tokens.
        """
        term = self.leadership.term
        if self.leadership.state.tables.version < BOOT_FENCES_VERSION:
            return term
        return (term << BOOT_BITS) + min(self.counts.read(self.vm_id), MAX_BOOTS)

    @property
    def is_closed(self) -> bool:
        """Whether the present boot carries out no call that was meant for an earlier one any more."""
        return self.answered_token > self.earlier_token

    def begin_boot(self) -> None:
        """Raises the token for the next boot of the VM."""
        self.earlier_token = self.token
        self.answered_token = 0
        self.counts.add(self.vm_id)

    def record_answer(self, token: int) -> bool:
        """Records that the present boot has answered a poll; returns whether this closes it to the calls for earlier ones.

        Args:
            token: Token of the poll.
        """
        was_closed = self.is_closed
        self.answered_token = max(self.answered_token, token)
        return self.is_closed and not was_closed


__all__ = ["BOOT_BITS", "MAX_BOOTS", "BootFence"]
