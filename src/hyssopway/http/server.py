"""HTTP server that answers malformed requests with numbered failures."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong
from aiohttp.web_protocol import RequestHandler

from hyssopway.result import Failure, ResultCode

from .answers import failure_response

if TYPE_CHECKING:
    from aiohttp.web_request import BaseRequest

MAX_LINE_BYTES = 8190
MAX_FIELD_BYTES = 8190
MAX_FIELDS = 100
# A client that connects and does not send a whole head within this time is disconnected.
HEAD_S = 10.0
KEEP_ALIVE_S = 75.0
# The rest of a refused body is read for this time, so that the client gets to see the answer.
LINGER_S = 2.0


class NumberedErrors(RequestHandler):
    """Connection whose protocol errors are answered like all other failures."""

    __slots__ = ("head_timer",)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to wait for the first request."""
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self.head_timer: asyncio.TimerHandle | None = loop.call_later(HEAD_S, self._end_silent)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the wait."""
        if self.head_timer is not None:
            self.head_timer.cancel()
        super().connection_lost(exc)

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers a request that cannot be parsed or whose handler raised."""
        if status == HTTPStatus.INTERNAL_SERVER_ERROR:
            super().handle_error(request, status, exc, message)  # logs, and refuses a second answer
        response = failure_response(_describe(status=status, exc=exc, message=message))
        response.force_close()
        return response

    def _end_silent(self) -> None:
        self.head_timer = None
        if not self._request_count and self.transport is not None:
            self.transport.close()


class Runner(web.AppRunner):
    """Runs an application with numbered errors, limits and cancelled handlers."""

    def __init__(self, app: web.Application) -> None:
        super().__init__(
            app,
            access_log=None,
            handler_cancellation=True,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            max_headers=MAX_FIELDS,
            keepalive_timeout=KEEP_ALIVE_S,
            lingering_time=LINGER_S,
        )

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        server.__class__ = _Server
        return server


class _Server(web.Server):
    """Makes connections with numbered errors."""

    def __call__(self) -> RequestHandler:
        return NumberedErrors(self, loop=self._loop, **self._kwargs)


def _describe(*, status: int, exc: BaseException | None, message: str | None) -> Failure:
    if status == HTTPStatus.INTERNAL_SERVER_ERROR:
        return Failure(code=ResultCode.INTERNAL, message="the request failed by an error of this daemon")
    text = (message or str(exc) or "the request is malformed").splitlines()[0]
    if isinstance(exc, LineTooLong) or "Too many" in text:
        return Failure(code=ResultCode.HEADER_TOO_LARGE, message=text)
    return Failure(code=ResultCode.MALFORMED_REQUEST, message=text)


__all__ = ["Runner"]
