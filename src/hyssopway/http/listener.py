"""Listener for HTTP connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from .connection_handler import ConnectionHandler
from .refused_connection import RefusedConnection

if TYPE_CHECKING:
    import ssl
    from collections.abc import Awaitable, Callable

BACKLOG = 1024


class HttpListener:
    """Serves an application on one address, with a limit on connections.

    Attributes:
        runner: Runs the application.
        max_connections: Most connections at a time; further ones are refused with an error response.
        connections: Open connections that are served.
        tcp_server: Listening server while open; None otherwise.
    """

    __slots__ = ("connections", "max_connections", "runner", "tcp_server")

    def __init__(self, *, app: web.Application, shutdown_s: float, max_connections: int = 4096) -> None:
        self.runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=shutdown_s, handler_cancellation=True
        )
        self.max_connections = max_connections
        self.connections: set[ConnectionHandler] = set()
        self.tcp_server: asyncio.Server | None = None

    async def open(self, *, host: str, port: int, tls: ssl.SSLContext | None = None) -> None:
        """Starts listening."""
        await self.runner.setup()
        server = self.runner.server
        if server is None:
            raise RuntimeError("the HTTP application is not set up")
        loop = asyncio.get_running_loop()

        def create_protocol() -> asyncio.Protocol:
            if len(self.connections) >= self.max_connections:
                return RefusedConnection(loop=loop, limit=self.max_connections)
            return ConnectionHandler(server, loop=loop, connections=self.connections)

        self.tcp_server = await loop.create_server(create_protocol, host, port, ssl=tls, backlog=BACKLOG)

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
