"""Listener for HTTP connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from hyssopway.listening_socket import ACCEPTS_AT_ONCE, listen

from .connection_handler import RECEIVE_BUFFER_BYTES, ConnectionHandler
from .refused_connection import RefusedConnection
from .request_limits import RequestLimits
from .request_memory import CloseReason, RequestMemory

if TYPE_CHECKING:
    import ssl
    from collections.abc import Awaitable, Callable


class HttpListener:
    """Serves an application on one address, with a limit on connections.

    Attributes:
        runner: Runs the application.
        max_connections: Most connections at a time; further ones are refused with an error response.
        limits: Limits on the requests of a connection, in force from the next request on.
        memory: Bounds the memory of requests; the listeners of a process share one.
        connections: Open connections that are served, the oldest first.
        refused: Open connections that are refused.
        tcp_server: Listening server while open; None otherwise.
    """

    __slots__ = ("connections", "limits", "max_connections", "memory", "refused", "runner", "tcp_server")

    def __init__(
        self,
        *,
        app: web.Application,
        shutdown_s: float,
        max_connections: int = 4096,
        limits: RequestLimits | None = None,
        memory: RequestMemory | None = None,
    ) -> None:
        self.runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=shutdown_s, handler_cancellation=True
        )
        self.max_connections = max_connections
        self.limits = limits if limits is not None else RequestLimits.for_streams()
        self.memory = memory if memory is not None else RequestMemory()
        self.connections: dict[ConnectionHandler, None] = {}
        self.refused: set[RefusedConnection] = set()
        self.tcp_server: asyncio.Server | None = None

    async def open(self, *, host: str, port: int, tls: ssl.SSLContext | None = None) -> None:
        """Starts listening."""
        await self.runner.setup()
        server = self.runner.server
        if server is None:
            raise RuntimeError("the HTTP application is not set up")
        loop = asyncio.get_running_loop()

        def create_protocol() -> asyncio.Protocol:
            if len(self.connections) >= self.max_connections and not self._reclaim():
                self.memory.count_closed(CloseReason.CONNECTIONS)
                return RefusedConnection(loop=loop, limit=self.max_connections, refused=self.refused)
            return ConnectionHandler(
                server, loop=loop, connections=self.connections, limits=self.limits, memory=self.memory
            )

        listening = listen(host, port, receive_buffer_bytes=RECEIVE_BUFFER_BYTES)
        self.tcp_server = await loop.create_server(
            create_protocol, sock=listening, ssl=tls, backlog=ACCEPTS_AT_ONCE
        )

    def _reclaim(self) -> bool:
        """Closes the oldest connection without a request in progress; returns whether there was one."""
        now = self.memory.clock()
        for connection in self.connections:
            if connection.is_reclaimable(now):
                del self.connections[connection]
                connection.close_early(CloseReason.CONNECTIONS)
                return True
        return False

    async def close(self, *, finish: Callable[[], Awaitable[None]] | None = None) -> None:
        """Stops listening and waits for requests in progress.

        Args:
            finish: Waits for requests that may take longer than `shutdown_s`.
        """
        if self.tcp_server is not None:
            self.tcp_server.close()
        if finish is not None:
            await finish()
        await self.runner.cleanup()


__all__ = ["HttpListener"]
