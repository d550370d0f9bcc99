"""Suspicion that the leader has failed, before the election timeout expires."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.clock import Clock


class LeaderSuspicion:
    """Records when a member last had a reason to suspect that there is no live leader.

    A lost connection or a start of the own process shows much earlier than the election timeout that a new leader
    may be needed. The suspicion ends when the member hears from a leader.

    Attributes:
        clock: Monotonic seconds.
        began_at: Local time at which the last suspicion began.
        raised: Set when a suspicion begins.
    """

    __slots__ = ("began_at", "clock", "raised")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.began_at = float("-inf")
        self.raised = asyncio.Event()

    def start(self) -> None:
        """Begins a suspicion now."""
        self.began_at = self.clock()
        self.raised.set()

    def is_active(self, *, heard_at: float) -> bool:
        """Returns whether no leader was heard since the suspicion began."""
        return self.began_at >= heard_at

    async def wait(self, *, timeout_s: float) -> bool:
        """Waits for a suspicion to begin and returns whether one did."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.raised.wait()
        except TimeoutError:
            return False
        self.raised.clear()
        return True


__all__ = ["LeaderSuspicion"]
