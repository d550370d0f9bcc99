"""Responses to input that no handler sees."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from aiohttp.http_exceptions import LineTooLong

from hyssopway.result import Failure, ResultCode, http_status

from .responses import encode_failure, failure_response, retry_after_headers

if TYPE_CHECKING:
    from aiohttp import web


# After this time a connection that stalled has given way, or its request has ended.
OVERLOAD_RETRY_AFTER_S = 1.0


def overload_failure(message: str) -> Failure:
    """Returns the failure of a request that was not run because the listener has no room for it."""
    return Failure(
        code=ResultCode.TOO_MANY_CONNECTIONS, message=message, retry_after_s=OVERLOAD_RETRY_AFTER_S
    )


def encode_error_response(failure: Failure) -> bytes:
    """Encodes a failure as a complete HTTP response that closes the connection."""
    status = http_status(failure.code)
    body = encode_failure(failure)
    retry = retry_after_headers(failure)
    fields = "".join(f"{name}: {value}\r\n" for name, value in retry.items())
    head = (
        f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n{fields}Connection: close\r\n\r\n"
    )
    return head.encode() + body


def parser_error_response(status: int, *, exc: BaseException | None, message: str | None) -> web.Response:
    """Returns the response to input that the HTTP parser rejects, after which the connection closes."""
    code = ResultCode.INTERNAL
    if status < HTTPStatus.INTERNAL_SERVER_ERROR:
        # aiohttp reports too long a line by an exception type and too many headers by a message only.
        too_large = isinstance(exc, LineTooLong) or "Too many headers" in f"{message}{exc}"
        code = ResultCode.HEADER_TOO_LARGE if too_large else ResultCode.MALFORMED_REQUEST
    text = " ".join((message or str(exc) or "the request is not valid HTTP").split())[:300]
    response = failure_response(Failure(code=code, message=text))
    response.force_close()
    return response


__all__ = ["encode_error_response", "overload_failure", "parser_error_response"]
