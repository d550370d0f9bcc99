"""Lets handlers finish when their client hangs up and numbers routing errors."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from hyssopway.result import Failure, ResultCode

from .answers import failure_response

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

CANCELLED_PREFIX = "/call/"

_tasks: set[asyncio.Task[web.StreamResponse]] = set()


@web.middleware
async def guard_handlers(
    request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
) -> web.StreamResponse:
    """Numbers routing errors and cancels only callers' requests when a connection is lost.

    Other handlers change state and finish. One function does both, because each layer costs every
    request.
    """
    try:
        if request.path.startswith(CANCELLED_PREFIX):
            return await handler(request)
        task = asyncio.ensure_future(handler(request))
        _tasks.add(task)
        task.add_done_callback(_tasks.discard)
        return await asyncio.shield(task)
    except (web.HTTPNotFound, web.HTTPMethodNotAllowed) as error:
        message = f"{request.method} {request.path} does not exist: {error.reason}"
        return failure_response(Failure(code=ResultCode.UNKNOWN_RESOURCE, message=message))


__all__ = ["guard_handlers"]
