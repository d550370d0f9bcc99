"""Forwards requests to endpoints and relays their responses."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from hyssopway.event import Event, log_event
from hyssopway.result import Failure, ResultCode, WorkState

from .attempt_failed import AttemptFailedError
from .claims import MAX_STORED_BODY_BYTES
from .headers import NOT_RUN_HEADER, REQUEST_ID_HEADER, request_headers, response_headers

if TYPE_CHECKING:
    from hyssopway.clock import Clock
    from hyssopway.routing import HeldCredit

    from .call import Call
    from .claims import ClaimManager

CONNECT_TIMEOUT_S = 1.0
# Without this limit, a caller that stops reading would hold a slot of the endpoint until its deadline.
RESPONSE_WRITE_TIMEOUT_S = 5.0
# Responses up to this size are buffered before they are relayed, so that a truncated one can be retried.
BUFFERED_RESPONSE_BYTES = 64 * 1024


class SlowReaderError(ConnectionError):
    """The caller stopped reading its response."""


class Forwarder:
    """Sends one attempt of a request to an endpoint.

    Attributes:
        claims: Claims of non-idempotent requests.
        session: HTTP client that keeps connections alive.
        single_use_session: HTTP client that opens a connection per request, for non-idempotent requests.
    """

    __slots__ = ("claims", "clock", "session", "single_use_session")

    def __init__(
        self,
        *,
        claims: ClaimManager,
        session: aiohttp.ClientSession,
        single_use_session: aiohttp.ClientSession,
        clock: Clock,
    ) -> None:
        self.claims = claims
        self.session = session
        self.single_use_session = single_use_session
        self.clock = clock

    async def send(self, call: Call, *, credit: HeldCredit) -> web.StreamResponse:
        """Sends a request and relays the complete response.

        Raises:
            AttemptFailedError: No complete response was relayed; part of one was if `call.answering` is set.
        """
        call.sending = False
        try:
            async with asyncio.timeout(max(0.0, call.deadline - self.clock())):
                return await self._exchange(call, credit=credit)
        except (aiohttp.ClientError, OSError) as error:
            raise _attempt_failure(call, error=error) from error

    async def _exchange(self, call: Call, *, credit: HeldCredit) -> web.StreamResponse:
        request = call.request
        request_id = secrets.token_hex(8)
        remaining_s = call.deadline - self.clock()
        headers = request_headers(request.headers, request_id=request_id, remaining_s=remaining_s)
        decoded = "Content-Encoding" in request.headers
        if not call.body.complete and request.content_length is not None and not decoded:
            headers["Content-Length"] = str(request.content_length)
        path = request.match_info.get("path", "")
        query = f"?{request.query_string}" if request.query_string else ""
        session = self.session if call.claim is None else self.single_use_session
        async with session.request(
            request.method,
            f"{credit.credit.address}/{path}{query}",
            data=call.body.payload(),
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            trace_request_ctx=call,
            allow_redirects=False,
        ) as upstream:
            _check_response(call, upstream=upstream, request_id=request_id)
            return await self._relay_response(call, upstream=upstream, endpoint=credit.credit.endpoint)

    async def _relay_response(
        self, call: Call, *, upstream: aiohttp.ClientResponse, endpoint: str
    ) -> web.StreamResponse:
        prefix, complete = await _read_prefix(upstream)
        if call.claim is not None:
            stored_body = prefix if complete and len(prefix) <= MAX_STORED_BODY_BYTES else None
            content_type = upstream.headers.get("Content-Type", "")
            await self.claims.resolve(
                call.claim, status=upstream.status, content_type=content_type, body=stored_body
            )
        headers = response_headers(upstream.headers)
        if complete:
            if call.request.method == "HEAD" and "Content-Length" in upstream.headers:
                headers["Content-Length"] = upstream.headers["Content-Length"]
            return web.Response(status=upstream.status, headers=headers, body=prefix)
        response = web.StreamResponse(status=upstream.status, headers=headers)
        response.content_length = upstream.content_length
        call.answering = True
        await self._stream(call, upstream=upstream, response=response, prefix=prefix, endpoint=endpoint)
        return response

    async def _stream(
        self,
        call: Call,
        *,
        upstream: aiohttp.ClientResponse,
        response: web.StreamResponse,
        prefix: bytes,
        endpoint: str,
    ) -> None:
        try:
            await response.prepare(call.request)
            await _write(response, part=prefix)
            while part := await upstream.content.readany():
                await _write(response, part=part)
            await response.write_eof()
        except (aiohttp.ClientError, OSError, asyncio.CancelledError) as error:
            # Only a broken connection tells the caller that the response is incomplete.
            transport = call.request.transport
            caller_connected = transport is not None and not transport.is_closing()
            call.caller_gone = not caller_connected or isinstance(error, SlowReaderError)
            if caller_connected:
                transport.abort()
            log_event(Event.ANSWER_ABORTED, endpoint=endpoint, error=str(error) or type(error).__name__)
            raise


async def _write(response: web.StreamResponse, *, part: bytes) -> None:
    try:
        async with asyncio.timeout(RESPONSE_WRITE_TIMEOUT_S):
            await response.write(part)
    except TimeoutError as error:
        raise SlowReaderError(f"the caller read no data for {RESPONSE_WRITE_TIMEOUT_S:g} s") from error


async def _read_prefix(upstream: aiohttp.ClientResponse) -> tuple[bytes, bool]:
    """Returns the first part of a response, and whether it is the complete body."""
    parts: list[bytes] = []
    size = 0
    while size <= BUFFERED_RESPONSE_BYTES:
        part = await upstream.content.readany()
        if not part:
            return b"".join(parts), True
        parts.append(part)
        size += len(part)
    return b"".join(parts), False


def _check_response(call: Call, *, upstream: aiohttp.ClientResponse, request_id: str) -> None:
    echoed = upstream.headers.get(REQUEST_ID_HEADER)
    if echoed != request_id:
        upstream.close()  # further data on this connection may belong to other requests
        message = f"the endpoint's response has {'the ID of another request' if echoed else 'no request ID'}"
        raise AttemptFailedError(_may_have_run(ResultCode.ANSWER_MISMATCHED, message))
    if upstream.headers.get(NOT_RUN_HEADER, "").lower() == "true":
        call.sending = False
        message = "the endpoint did not run the request"
        raise AttemptFailedError(
            Failure(code=ResultCode.ENDPOINT_REFUSED, message=message, retry_after_s=1.0)
        )
    has_length = "Content-Length" in upstream.headers or "Transfer-Encoding" in upstream.headers
    if not has_length and call.request.method != "HEAD" and upstream.status not in (204, 304):
        upstream.close()
        # Without a length, a truncated response can't be told from a complete one.
        message = "the endpoint's response has neither Content-Length nor Transfer-Encoding"
        raise AttemptFailedError(_may_have_run(ResultCode.ANSWER_INCOMPLETE, message))


def _attempt_failure(call: Call, *, error: Exception) -> AttemptFailedError:
    reason = str(error) or type(error).__name__
    if call.body.read_failure is not None:
        failure = call.body.read_failure
        if call.sending:
            failure = _may_have_run(failure.code, failure.message)
        return AttemptFailedError(failure, retry=False, endpoint_failed=False)
    if not call.sending:
        message = f"the endpoint is unreachable: {reason}"
        return AttemptFailedError(
            Failure(code=ResultCode.ENDPOINT_FAILED, message=message, retry_after_s=1.0)
        )
    if call.caller_gone:
        failure = _may_have_run(ResultCode.ANSWER_INCOMPLETE, "the caller disconnected")
        return AttemptFailedError(failure, retry=False, endpoint_failed=False)
    if isinstance(error, TimeoutError):
        message = "the endpoint did not answer before the deadline of the request"
        return AttemptFailedError(_may_have_run(ResultCode.DEADLINE_EXCEEDED, message), retry=False)
    if isinstance(error, aiohttp.ClientPayloadError):
        message = f"the endpoint's response is truncated: {reason}"
        return AttemptFailedError(_may_have_run(ResultCode.ANSWER_INCOMPLETE, message))
    message = f"the endpoint failed after the request was sent: {reason}"
    return AttemptFailedError(_may_have_run(ResultCode.ENDPOINT_FAILED, message))


def _may_have_run(code: ResultCode, message: str) -> Failure:
    return Failure(code=code, message=message, work=WorkState.MAY_HAVE_RUN)


__all__ = ["Forwarder"]
