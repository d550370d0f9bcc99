"""Tells whether the caller of an HTTP request still waits for its response."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event

from .connection_handler import ConnectionHandler

if TYPE_CHECKING:
    from aiohttp import web

    from hyssopway.clock import Clock

    from .pause_detector import PauseDetector

# Time in which the event loop reads what has arrived on the connection, such as its end.
READ_DELAY_S = 0.01


class WaitingCaller:
    """Caller of one request, who sends it again elsewhere when there is no response in time.

    Attributes:
        http_request: The request.
        received_at: Local time at which the request was read, in seconds.
        patience_s: Time for which callers wait, in seconds.
        pauses: Detects pauses of this process.
        clock: Local monotonic clock, in seconds.
    """

    __slots__ = ("clock", "http_request", "patience_s", "pauses", "received_at")

    def __init__(
        self, *, http_request: web.Request, patience_s: float, pauses: PauseDetector, clock: Clock
    ) -> None:
        self.http_request = http_request
        self.patience_s = patience_s
        self.pauses = pauses
        self.clock = clock
        self.received_at = clock()

    async def confirm(self) -> bool:
        """Returns whether the caller still waits, so that it has sent no later request instead."""
        await asyncio.sleep(READ_DELAY_S)
        reason = self._find_reason()
        if reason:
            log_event(
                Event.ORDER_EXPIRED,
                method=self.http_request.method,
                path=self.http_request.path,
                reason=reason,
            )
        return not reason

    def _find_reason(self) -> str:
        if self.pauses.was_paused():
            return "this process was paused, so the request may be old"
        if self.clock() - self.received_at > self.patience_s:
            return f"it was received more than {self.patience_s} s ago"
        connection = self.http_request.protocol
        if connection.transport is None:
            return "the connection has ended"
        if isinstance(connection, ConnectionHandler) and connection.is_half_closed:
            return "the caller has closed its side of the connection"
        return ""


__all__ = ["WaitingCaller"]
