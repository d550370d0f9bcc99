"""Connections to one host."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .connection import HttpConnection


class HostConnections:
    """Connections to one host.

    Attributes:
        idle: Connections without a request in progress, the last used one at the end.
        slots: Limits the number of requests in progress.
        in_use: Number of requests in progress or waiting.
    """

    __slots__ = ("idle", "in_use", "slots")

    def __init__(self, *, limit: int) -> None:
        self.idle: list[HttpConnection] = []
        self.slots = asyncio.Semaphore(limit)
        self.in_use = 0

    def take_idle(self) -> HttpConnection | None:
        """Returns an open idle connection, if there is one."""
        while self.idle:
            connection = self.idle.pop()
            if connection.transport is not None:
                return connection
        return None

    def close_idle(self, *, unused_since: float) -> None:
        """Closes the connections that have been idle since before `unused_since`."""
        for connection in self.idle:
            if connection.idle_since <= unused_since:
                connection.abort()
        self.idle = [connection for connection in self.idle if connection.idle_since > unused_since]


__all__ = ["HostConnections"]
