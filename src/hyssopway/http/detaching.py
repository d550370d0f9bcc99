"""Lets handlers finish when their client hangs up."""

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
async def finish_handlers(
    request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
) -> web.StreamResponse:
    """Cancels only callers' requests on a lost connection; other handlers change state and finish."""
    if request.path.startswith(CANCELLED_PREFIX):
        return await handler(request)
    task = asyncio.ensure_future(handler(request))
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)
    return await asyncio.shield(task)


@web.middleware
async def number_errors(
    request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
) -> web.StreamResponse:
    """Answers paths and methods without a route with a numbered failure."""
    try:
        return await handler(request)
    except (web.HTTPNotFound, web.HTTPMethodNotAllowed) as error:
        message = f"{request.method} {request.path} does not exist: {error.reason}"
        return failure_response(Failure(code=ResultCode.UNKNOWN_RESOURCE, message=message))


__all__ = ["finish_handlers", "number_errors"]
