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
        confirmed_index: Largest index that the leader knows this daemon may act on.
        confirmation_requested: Set when a confirmation is wanted at once.
        index_confirmed: Set when `confirmed_index` grew.
    """

    __slots__ = (
        "clock",
        "confirmation_requested",
        "confirmed_at",
        "confirmed_index",
        "index_confirmed",
        "was_valid",
    )

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.confirmed_at = float("-inf")
        self.confirmed_index = 0
        self.confirmation_requested = asyncio.Event()
        self.index_confirmed = asyncio.Event()
        self.was_valid = True

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

    def confirm_index(self, *, index: int) -> None:
        """Records that the leader confirmed everything up to an index to this daemon."""
        if index > self.confirmed_index:
            self.confirmed_index = index
            self.index_confirmed.set()

    async def wait_confirmed(self, index: int, *, timeout_s: float) -> bool:
        """Asks for a confirmation at once and waits until it covers an index."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.confirmed_index < index:
                    self.confirmation_requested.set()
                    self.index_confirmed.clear()
                    await self.index_confirmed.wait()
        except TimeoutError:
            return False
        return True

    async def wait_interval(self, seconds: float) -> None:
        """Waits before the next confirmation unless one is wanted at once."""
        try:
            async with asyncio.timeout(seconds):
                await self.confirmation_requested.wait()
        except TimeoutError:
            pass
        self.confirmation_requested.clear()

    def log_validity_change(self) -> None:
        """Logs when authority expires and when it is confirmed again."""
        if self.was_valid and not self.is_valid:
            log_event(Event.AUTHORITY_EXPIRED, age_s=self.age_s)
        if not self.was_valid and self.is_valid:
            log_event(Event.AUTHORITY_CONFIRMED)
        self.was_valid = self.is_valid


__all__ = ["AUTHORITY_TTL_S", "Freshness"]
