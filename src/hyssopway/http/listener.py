"""Listens for HTTP connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from .connection_handler import ConnectionHandler
from .refused_connection import RefusedConnection

if TYPE_CHECKING:
    import ssl

BACKLOG = 1024


class HttpListener:
    """Serves an application on one address.

    Attributes:
        runner: Runs the application.
        max_connections: Most connections at a time.
        connections: Connections that are served.
        listening: Listening socket while open.
    """

    __slots__ = ("connections", "listening", "max_connections", "runner")

    def __init__(self, *, app: web.Application, shutdown_s: float, max_connections: int = 4096) -> None:
        self.runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=shutdown_s, handler_cancellation=True
        )
        self.max_connections = max_connections
        self.connections: set[ConnectionHandler] = set()
        self.listening: asyncio.Server | None = None

    async def open(self, *, host: str, port: int, tls: ssl.SSLContext | None = None) -> None:
        """Starts to listen."""
        await self.runner.setup()
        server = self.runner.server
        if server is None:
            raise RuntimeError("the HTTP application is not set up")
        loop = asyncio.get_running_loop()

        def serve() -> asyncio.Protocol:
            if len(self.connections) >= self.max_connections:
                return RefusedConnection(loop=loop, limit=self.max_connections)
            return ConnectionHandler(server, loop=loop, connections=self.connections)

        self.listening = await loop.create_server(serve, host, port, ssl=tls, backlog=BACKLOG)

    async def close(self) -> None:
        """Stops to listen and waits for requests in progress."""
        if self.listening is not None:
            self.listening.close()
        await self.runner.cleanup()


__all__ = ["HttpListener"]
