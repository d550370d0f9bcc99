"""HTTP connection that answers malformed input with numbered error codes."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from aiohttp.http_exceptions import LineTooLong
from aiohttp.web_protocol import RequestHandler

from hyssopway.result import Failure, ResultCode, http_status

from .responses import encode_failure, failure_response

if TYPE_CHECKING:
    import asyncio

    from aiohttp import web
    from aiohttp.web_request import BaseRequest

# Frees the connection of a caller that does not complete a request head.
HEAD_TIMEOUT_S = 10.0
MAX_LINE_BYTES = 8190
MAX_FIELD_BYTES = 8190
MAX_HEADERS = 100
KEEP_ALIVE_S = 75.0
# Reads on for this time after a rejected body, so that the caller receives the response.
LINGER_S = 2.0


class ConnectionHandler(RequestHandler):
    """Serves one connection.

    Attributes:
        loop: Event loop of the connection.
        connections: All open connections, including this one.
        head_timer: Closes the connection when a request head does not arrive in time.
        is_half_closed: Whether the caller has closed its sending side.
    """

    __slots__ = ("connections", "head_timer", "is_half_closed", "loop")

    def __init__(
        self,
        server: web.Server,
        *,
        loop: asyncio.AbstractEventLoop,
        connections: set[ConnectionHandler],
    ) -> None:
        super().__init__(
            server,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]  # aiohttp takes None for no access log
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            max_headers=MAX_HEADERS,
            keepalive_timeout=KEEP_ALIVE_S,
            lingering_time=LINGER_S,
        )
        self.loop = loop
        self.connections = connections
        self.head_timer: asyncio.TimerHandle | None = None
        self.is_half_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the timer of the first request head."""
        super().connection_made(transport)
        self.connections.add(self)
        self.head_timer = self.loop.call_later(HEAD_TIMEOUT_S, self._time_out_head)

    def data_received(self, data: bytes) -> None:
        """Passes bytes to the parser and updates the timer of the request head."""
        super().data_received(data)
        if self._is_idle():
            if self.head_timer is None:
                self.head_timer = self.loop.call_later(HEAD_TIMEOUT_S, self._time_out_head)
        else:
            self._cancel_timer()

    def eof_received(self) -> bool | None:  # type: ignore[override]
        """Handles a caller that closed its sending side.

        Returns:
            True to keep this side open for sending until the request in progress has its response.
        """
        super().eof_received()
        self.is_half_closed = True
        if self._is_idle():
            if self._waiter is None and self.head_timer is None:
                # aiohttp parsed a whole head and starts its request in the next iteration of the event loop.
                self.loop.call_soon(self._handle_eof)
                return True
            if self.head_timer is not None:
                self._send_error(ResultCode.MALFORMED_REQUEST, "the connection ended inside the request head")
            return None
        return self._handle_eof()

    def _handle_eof(self) -> bool | None:
        request = self._current_request
        if request is not None and not request.content.is_eof():
            self._send_error(ResultCode.MALFORMED_REQUEST, "the connection ended inside the request body")
            return None
        self.close()
        return True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels the timer and removes the connection."""
        self._cancel_timer()
        self.connections.discard(self)
        super().connection_lost(exc)

    def handle_error(
        self,
        request: BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the response to input that the HTTP parser rejects.

        Raises:
            ConnectionError: A response has already been started.
        """
        if request.writer.output_size > 0:
            raise ConnectionError("the response has already been started")
        code = ResultCode.INTERNAL
        if status < HTTPStatus.INTERNAL_SERVER_ERROR:
            # aiohttp reports too long a line by an exception type and too many headers by a message only.
            too_large = isinstance(exc, LineTooLong) or "Too many headers" in f"{message}{exc}"
            code = ResultCode.HEADER_TOO_LARGE if too_large else ResultCode.MALFORMED_REQUEST
        text = " ".join((message or str(exc) or "the request is not valid HTTP").split())[:300]
        response = failure_response(Failure(code=code, message=text))
        response.force_close()
        return response

    def _is_idle(self) -> bool:
        return self._current_request is None and not self._messages

    def _time_out_head(self) -> None:
        self.head_timer = None
        if self._is_idle():
            message = f"the request head did not arrive within {HEAD_TIMEOUT_S:.0f} s"
            self._send_error(ResultCode.REQUEST_TOO_SLOW, message)

    def _send_error(self, code: ResultCode, message: str) -> None:
        transport: Any = self.transport
        if transport is not None and not transport.is_closing():
            transport.write(encode_error_response(Failure(code=code, message=message)))
            transport.close()

    def _cancel_timer(self) -> None:
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None


def encode_error_response(failure: Failure) -> bytes:
    """Encodes a failure as a complete HTTP response that closes the connection."""
    status = http_status(failure.code)
    body = encode_failure(failure)
    head = (
        f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


__all__ = ["ConnectionHandler", "encode_error_response"]
