"""Middleware that turns errors of the HTTP layer into numbered failures."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from aiohttp import web

from hyssopway.event import Event, log_event
from hyssopway.result import Failure, ResultCode, WorkState

from .handler_shield import run_shielded
from .responses import failure_response

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

# The values of these headers are stored in the replicated state of every daemon, hence the length limit.
LIMITED_HEADERS = ("Idempotency-Key", "Hyssopway-Operator")
MAX_ID_CHARACTERS = 256

_CODES = {
    HTTPStatus.NOT_FOUND: ResultCode.UNKNOWN_RESOURCE,
    HTTPStatus.METHOD_NOT_ALLOWED: ResultCode.METHOD_NOT_ALLOWED,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ResultCode.BODY_TOO_LARGE,
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: ResultCode.HEADER_TOO_LARGE,
    HTTPStatus.EXPECTATION_FAILED: ResultCode.MALFORMED_REQUEST,
}


@web.middleware
async def error_middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Turns exceptions of handlers and of the router into JSON responses with numbered codes."""
    for name in LIMITED_HEADERS:
        if len(request.headers.get(name, "")) > MAX_ID_CHARACTERS:
            message = f"header {name} is longer than {MAX_ID_CHARACTERS} characters"
            return failure_response(Failure(code=ResultCode.HEADER_TOO_LARGE, message=message))
    try:
        return await run_shielded(request, handler)
    except web.HTTPException as error:
        return _http_error_response(request, error=error)
    except (web.RequestPayloadError, ConnectionResetError) as error:
        message = f"the request body could not be read: {error}"
        return failure_response(Failure(code=ResultCode.MALFORMED_REQUEST, message=message))
    except Exception as error:
        log_event(Event.HTTP_HANDLER_FAILED, method=request.method, path=request.path, error=repr(error))
        message = "an internal error occurred; the log of this entry VM has the details"
        return failure_response(
            Failure(code=ResultCode.INTERNAL, message=message, work=WorkState.MAY_HAVE_RUN)
        )


def _http_error_response(request: web.Request, *, error: web.HTTPException) -> web.Response:
    code = _CODES.get(HTTPStatus(error.status), ResultCode.MALFORMED_REQUEST)
    match error:
        case web.HTTPMethodNotAllowed():
            allowed = ", ".join(sorted(error.allowed_methods))
            message = f"{request.path} does not support {request.method}; allowed: {allowed}"
        case web.HTTPNotFound():
            message = f"{request.path} does not exist; docs/http-api.md lists all routes"
        case _:
            message = error.text or error.reason
    response = failure_response(Failure(code=code, message=message))
    if "Allow" in error.headers:
        response.headers["Allow"] = error.headers["Allow"]
    return response


__all__ = ["error_middleware"]
