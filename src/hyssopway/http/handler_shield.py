"""Keeps handlers running when their client disconnects."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import web

CANCELLABLE_PREFIX = "/call/"

_tasks: set[asyncio.Task[web.StreamResponse]] = set()


async def run_shielded(
    request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
) -> web.StreamResponse:
    """Runs a handler to its end even if the connection is lost, except for forwarded requests of callers.

    Handlers outside `CANCELLABLE_PREFIX` may change state and must finish.
    """
    if request.path.startswith(CANCELLABLE_PREFIX):
        return await handler(request)
    task = asyncio.ensure_future(handler(request))
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)
    return await asyncio.shield(task)


__all__ = ["run_shielded"]
