"""One HTTP connection beyond the limit."""

from __future__ import annotations

import asyncio

from hyssopway.result import Failure, ResultCode

from .connection_handler import encode_error_response

# Closing at once would reset the connection, and the caller would lose the answer with its unread request.
LINGER_S = 1.0


class RefusedConnection(asyncio.Protocol):
    """Answers the first bytes with a refusal and ends.

    Attributes:
        limit: Most connections that are served.
    """

    __slots__ = ("answered", "limit", "loop", "timer", "transport")

    def __init__(self, *, loop: asyncio.AbstractEventLoop, limit: int) -> None:
        self.loop = loop
        self.limit = limit
        self.answered = False
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Waits for a request, so that the answer belongs to one."""
        if isinstance(transport, asyncio.Transport):
            self.transport = transport
            self.timer = self.loop.call_later(LINGER_S, transport.close)

    def data_received(self, data: bytes) -> None:
        """Refuses the request; what follows is read and dropped."""
        if not self.answered and self.transport is not None:
            self.answered = True
            message = f"this entry VM serves {self.limit} connections, its limit; use another one"
            self.transport.write(
                encode_error_response(Failure(code=ResultCode.TOO_MANY_CONNECTIONS, message=message))
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the connection."""
        if self.timer is not None:
            self.timer.cancel()


__all__ = ["RefusedConnection"]
