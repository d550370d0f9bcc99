"""How recently a replica was confirmed to be current."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event

if TYPE_CHECKING:
    from hyssopway.clock import Clock

# A withdrawn key or zone must take effect within 5 s even in a partition; the other 2 s are for propagation.
AUTHORITY_TTL_S = 3.0


class Freshness:
    """Local time up to which the replica is known to hold every committed entry.

    The authority to act on the replica expires `AUTHORITY_TTL_S` after that time. Every check reads the
    clock again, so a process that was suspended finds its authority expired.

    Attributes:
        clock: Returns monotonic seconds.
        confirmed_at: Local time up to which the replica was confirmed; negative infinity when never.
        confirmed_index: Largest index that the leader knows it has confirmed to this daemon.
        confirmation_requested: Set when the next confirmation is needed immediately.
        index_confirmed: Set when `confirmed_index` increases.
        was_valid: Validity that was logged last.
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
        """Seconds since `confirmed_at`; infinite when never confirmed."""
        return self.clock() - self.confirmed_at

    @property
    def is_valid(self) -> bool:
        """Whether the replica is fresh enough to act on."""
        return self.age_s <= AUTHORITY_TTL_S

    def confirm(self, *, at: float) -> None:
        """Records that everything committed before a local time is applied."""
        self.confirmed_at = max(self.confirmed_at, at)

    def confirm_index(self, *, index: int) -> None:
        """Records that the leader confirmed all entries up to an index to this daemon."""
        if index > self.confirmed_index:
            self.confirmed_index = index
            self.index_confirmed.set()

    async def wait_confirmed(self, index: int, *, timeout_s: float) -> bool:
        """Requests an immediate confirmation and waits until one reaches an index.

        Returns:
            False when the timeout passed first.
        """
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
        """Waits until the next confirmation is due or requested."""
        try:
            async with asyncio.timeout(seconds):
                await self.confirmation_requested.wait()
        except TimeoutError:
            pass
        self.confirmation_requested.clear()

    def log_validity_change(self) -> None:
        """Logs that authority expired or was confirmed again since the last call."""
        if self.was_valid and not self.is_valid:
            log_event(Event.AUTHORITY_EXPIRED, age_s=self.age_s)
        if not self.was_valid and self.is_valid:
            log_event(Event.AUTHORITY_CONFIRMED)
        self.was_valid = self.is_valid


__all__ = ["AUTHORITY_TTL_S", "Freshness"]
