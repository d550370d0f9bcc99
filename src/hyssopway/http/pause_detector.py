"""Detects that this process was paused, so that what it reads next may have waited."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

TICK_INTERVAL_S = 0.1
# A tick that is later by more than this follows a pause.
MAX_TICK_DELAY_S = 0.2
# Time after a pause in which the requests that arrived during it are read.
SETTLE_S = 1.0


class PauseDetector:
    """Detects pauses of the process by ticks that come late.

    A process that was frozen continues with the bytes that wait in its sockets. Nothing shows their age.

    Attributes:
        clock: Monotonic clock in seconds, which includes the time that the VM is suspended.
        ticked_at: Time of the last tick.
        resumed_at: Time at which the last pause ended; negative infinity if there was none.
    """

    __slots__ = ("clock", "resumed_at", "ticked_at")

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.ticked_at = clock()
        self.resumed_at = float("-inf")

    async def run(self) -> None:
        """Ticks until it is cancelled."""
        self.ticked_at = self.clock()
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.tick()

    def tick(self) -> None:
        """Records that the event loop runs."""
        now = self.clock()
        if self._is_late(now):
            self.resumed_at = now
            log_event(Event.PROCESS_RESUMED, paused_ms=round((now - self.ticked_at) * 1000))
        self.ticked_at = now

    def was_paused(self) -> bool:
        """Returns whether what is read now may have waited in a socket during a pause."""
        now = self.clock()
        return self._is_late(now) or now - self.resumed_at <= SETTLE_S

    def _is_late(self, now: float) -> bool:
        return now - self.ticked_at > TICK_INTERVAL_S + MAX_TICK_DELAY_S


__all__ = ["PauseDetector"]
