"""Remembers calls that got no answer and that a VM may still carry out."""

from __future__ import annotations

from .order_delay import MAX_ORDER_DELAY_S


class UnsettledCalls:
    """Calls of one kind that are in flight, or got no answer, for as long as they may be carried out.

    Attributes:
        sent_at: Local time at which each of them was sent, by VM ID and number of the call.
        last_number: Number of the last call.
    """

    __slots__ = ("last_number", "sent_at")

    def __init__(self) -> None:
        self.sent_at: dict[str, dict[int, float]] = {}
        self.last_number = 0

    def record_sent(self, *, vm: str, now: float) -> int:
        """Records that a call is being sent and returns its number."""
        calls = self.sent_at.setdefault(vm, {})
        while calls and now - next(iter(calls.values())) > MAX_ORDER_DELAY_S:
            del calls[next(iter(calls))]
        self.last_number += 1
        calls[self.last_number] = now
        return self.last_number

    def record_settled(self, number: int, *, vm: str) -> None:
        """Records that a call was answered or not sent, so that it will not be carried out later."""
        self.sent_at.get(vm, {}).pop(number, None)

    def find_last(self, vm: str, *, now: float) -> float:
        """Returns when the last call that the VM may still carry out was sent; negative infinity if there is none."""
        last = max(self.sent_at.get(vm, {}).values(), default=float("-inf"))
        return last if now - last <= MAX_ORDER_DELAY_S else float("-inf")

    def discard_expired(self, *, now: float) -> None:
        """Discards what is no longer needed, also of VMs that have left."""
        for vm in list(self.sent_at):
            if self.find_last(vm, now=now) == float("-inf"):
                del self.sent_at[vm]


__all__ = ["UnsettledCalls"]
