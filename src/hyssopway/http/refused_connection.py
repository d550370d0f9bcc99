"""HTTP connection over the limit."""

from __future__ import annotations

import asyncio

from .error_response import encode_error_response, overload_failure

# Closing with the request unread would reset the connection, and the caller would lose the response.
LINGER_S = 1.0
# Further connections are reset at once, since each response takes a descriptor until it is read.
MAX_REFUSED = 32


class RefusedConnection(asyncio.Protocol):
    """Answers the first bytes with TOO_MANY_CONNECTIONS; a timer closes the connection.

    Attributes:
        loop: Event loop of the connection.
        limit: Number of connections that are served.
        refused: All open connections that were refused, including this one.
        answered: Whether the response was sent.
        transport: Transport while open.
        timer: Closes the connection after `LINGER_S`.
    """

    __slots__ = ("answered", "limit", "loop", "refused", "timer", "transport")

    def __init__(
        self, *, loop: asyncio.AbstractEventLoop, limit: int, refused: set[RefusedConnection]
    ) -> None:
        self.loop = loop
        self.limit = limit
        self.refused = refused
        self.answered = False
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the timer; the response waits for the first bytes, so that it answers a request."""
        if isinstance(transport, asyncio.Transport):
            self.transport = transport
            if len(self.refused) >= MAX_REFUSED:
                transport.abort()
                return
            self.refused.add(self)
            self.timer = self.loop.call_later(LINGER_S, transport.close)

    def data_received(self, data: bytes) -> None:
        """Sends the error response once and discards all input."""
        if not self.answered and self.transport is not None:
            self.answered = True
            message = f"this entry VM serves {self.limit} connections, its limit; use another one"
            self.transport.write(encode_error_response(overload_failure(message)))

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the timer and removes the connection."""
        self.refused.discard(self)
        if self.timer is not None:
            self.timer.cancel()


__all__ = ["RefusedConnection"]
