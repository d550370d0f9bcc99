"""How recently a replica was confirmed to be current."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event

if TYPE_CHECKING:
    from hyssopway.clock import Clock

# Withdrawn keys and zones must stop within 5 s also behind a partition; this leaves 2 s for the way.
AUTHORITY_TTL_S = 3.0


class Freshness:
    """Local time up to which the replica surely holds everything agreed.

    Every check reads the clock again, so a process that was frozen finds its authority expired.

    Attributes:
        clock: Monotonic seconds.
        confirmed_at: Local time of the confirmation.
        covered_index: Largest index that the leader knows this daemon may act on.
        asked: Set when a confirmation is wanted at once.
        advanced: Set when `covered_index` grew.
    """

    __slots__ = ("advanced", "asked", "clock", "confirmed_at", "covered_index", "reported")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.confirmed_at = float("-inf")
        self.covered_index = 0
        self.asked = asyncio.Event()
        self.advanced = asyncio.Event()
        self.reported = True

    @property
    def age_s(self) -> float:
        """Seconds since the confirmed time; infinite when never confirmed."""
        return self.clock() - self.confirmed_at

    @property
    def is_valid(self) -> bool:
        """Whether decisions that need current state may be made."""
        return self.age_s <= AUTHORITY_TTL_S

    def confirm(self, *, at: float) -> None:
        """Records that everything agreed before a local time is applied."""
        self.confirmed_at = max(self.confirmed_at, at)

    def cover(self, *, index: int) -> None:
        """Records that the leader confirmed everything up to an index to this daemon."""
        if index > self.covered_index:
            self.covered_index = index
            self.advanced.set()

    async def wait_covered(self, index: int, *, timeout_s: float) -> bool:
        """Asks for a confirmation at once and waits until it covers an index."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.covered_index < index:
                    self.asked.set()
                    self.advanced.clear()
                    await self.advanced.wait()
        except TimeoutError:
            return False
        return True

    async def rest(self, seconds: float) -> None:
        """Waits before the next confirmation unless one is wanted at once."""
        try:
            async with asyncio.timeout(seconds):
                await self.asked.wait()
        except TimeoutError:
            pass
        self.asked.clear()

    def report(self) -> None:
        """Logs when authority expires and when it is confirmed again."""
        if self.reported and not self.is_valid:
            log_event(Event.AUTHORITY_EXPIRED, age_s=self.age_s)
        if not self.reported and self.is_valid:
            log_event(Event.AUTHORITY_CONFIRMED)
        self.reported = self.is_valid


__all__ = ["AUTHORITY_TTL_S", "Freshness"]
