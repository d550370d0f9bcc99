"""Reasons to believe that the leader is gone before its silence has lasted long."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.clock import Clock


class LeaderSuspicion:
    """Whether a member has a reason to look for another leader.

    A lost connection or a start of the own process says much earlier than a long silence that a leader may be
    needed. A member that hears a leader after the doubt has begun drops it.

    Attributes:
        clock: Monotonic seconds.
        began_at: Local time at which the last doubt began.
        raised: Set when a doubt begins.
    """

    __slots__ = ("clock", "started", "started_at")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.started_at = float("-inf")
        self.started = asyncio.Event()

    def start(self) -> None:
        """Begins a doubt now."""
        self.started_at = self.clock()
        self.started.set()

    def is_active(self, *, heard_at: float) -> bool:
        """Tells whether no leader was heard since the doubt began."""
        return self.started_at >= heard_at

    async def wait(self, *, timeout_s: float) -> bool:
        """Waits for a doubt to begin and tells whether one did."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.started.wait()
        except TimeoutError:
            return False
        self.started.clear()
        return True


__all__ = ["LeaderSuspicion"]
