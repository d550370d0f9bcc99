"""Listens for HTTP connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from .connection_handler import ConnectionHandler

if TYPE_CHECKING:
    import ssl
    from collections.abc import Awaitable, Callable

BACKLOG = 1024


class HttpListener:
    """Serves an application on one address.

    Attributes:
        runner: Runs the application.
        listening: Listening socket while open.
    """

    __slots__ = ("listening", "runner")

    def __init__(self, *, app: web.Application, shutdown_s: float) -> None:
        self.runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=shutdown_s, handler_cancellation=True
        )
        self.listening: asyncio.Server | None = None

    async def open(self, *, host: str, port: int, tls: ssl.SSLContext | None = None) -> None:
        """Starts to listen."""
        await self.runner.setup()
        server = self.runner.server
        if server is None:
            raise RuntimeError("the HTTP application is not set up")
        loop = asyncio.get_running_loop()
        self.listening = await loop.create_server(
            lambda: ConnectionHandler(server, loop=loop), host, port, ssl=tls, backlog=BACKLOG
        )

    async def close(self, *, finish: Callable[[], Awaitable[None]] | None = None) -> None:
        """Stops to listen and waits for requests in progress.

        Args:
            finish: Waits for requests that may take longer than `shutdown_s`.
        """
        if self.listening is not None:
            self.listening.close()
        if finish is not None:
            await finish()
        await self.runner.cleanup()


__all__ = ["HttpListener"]
