"""Remembers orders to start runs that got no answer and that a VM may still carry out."""

from __future__ import annotations

from typing import NamedTuple

from .order_delay import MAX_ORDER_DELAY_S


class UnansweredCopy(NamedTuple):
    """Last copy of a start that got no answer.

    Attributes:
        boot: Boot of the VM that it was sent to, or a later one that refuses it.
        sent_at: Local time at which it was sent.
    """

    boot: int
    sent_at: float


class LateStarts:
    """Copies of starts that this leader sent and that got no answer, for as long as they may be carried out.

    A VM refuses the late start of a run that it has ended or was told to stop. Its next boot under the same ID has
    forgotten both.

    Attributes:
        copies: Last unanswered copy of each start, by VM ID and run key.
    """

    __slots__ = ("copies",)

    def __init__(self) -> None:
        self.copies: dict[str, dict[str, UnansweredCopy]] = {}

    def record_sent(self, key: str, *, vm: str, boot: int, now: float) -> UnansweredCopy | None:
        """Records that a copy is being sent; returns the one before it, to be restored if this one is answered."""
        copies = self.copies.setdefault(vm, {})
        earlier = copies.pop(key, None)
        _discard_expired(copies, now=now)
        copies[key] = UnansweredCopy(boot, now)
        return earlier

    def record_answered(self, key: str, *, vm: str, earlier: UnansweredCopy | None) -> None:
        """Records that the last copy was answered or not sent; copies before it may still be carried out."""
        copies = self.copies.setdefault(vm, {})
        copies.pop(key, None)
        if earlier is not None:
            copies[key] = earlier

    def record_refused(self, key: str, *, vm: str, boot: int) -> None:
        """Records that a boot of a VM has ended the run, so that it refuses the copies that are still on their way."""
        copies = self.copies.get(vm, {})
        if key in copies:
            copies[key] = copies[key]._replace(boot=boot)

    def find(self, vm: str, *, now: float) -> dict[str, UnansweredCopy]:
        """Returns the copies that the VM may still carry out, by run key."""
        copies = self.copies.get(vm, {})
        return {key: copy for key, copy in copies.items() if not _is_expired(copy, now=now)}

    def discard_expired(self, *, now: float) -> None:
        """Discards what is no longer needed, also of VMs that have left."""
        for vm in list(self.copies):
            self.copies[vm] = self.find(vm, now=now)
            if not self.copies[vm]:
                del self.copies[vm]


def _is_expired(copy: UnansweredCopy, *, now: float) -> bool:
    return now - copy.sent_at > MAX_ORDER_DELAY_S


def _discard_expired(copies: dict[str, UnansweredCopy], *, now: float) -> None:
    # The copies are nearly in the order of their times, so that the first ones are the oldest.
    while copies:
        key = next(iter(copies))
        if not _is_expired(copies[key], now=now):
            return
        del copies[key]


__all__ = ["LateStarts", "UnansweredCopy"]
