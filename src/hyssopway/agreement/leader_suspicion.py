"""Suspicion that the leader has failed, before the election timeout expires."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.clock import Clock


class LeaderSuspicion:
    """Records when a member last had a reason to suspect that there is no live leader.

    A lost connection to the leader or the start of the own process indicates much earlier than the election timeout
    that an election may be needed. The suspicion ends when the member hears from a leader again.

    Attributes:
        clock: Clock in monotonic seconds.
        started_at: Local time at which the last suspicion started.
        started: Set when a suspicion starts.
    """

    __slots__ = ("clock", "started", "started_at")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.started_at = float("-inf")
        self.started = asyncio.Event()

    def start(self) -> None:
        """Starts a suspicion now."""
        self.started_at = self.clock()
        self.started.set()

    def is_active(self, *, heard_at: float) -> bool:
        """Returns whether no leader was heard since the suspicion started."""
        return self.started_at >= heard_at

    async def wait(self, *, timeout_s: float) -> bool:
        """Waits for a suspicion to start; returns False when the timeout expires first."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.started.wait()
        except TimeoutError:
            return False
        self.started.clear()
        return True


__all__ = ["LeaderSuspicion"]
