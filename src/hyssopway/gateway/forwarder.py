"""Sends a request to an endpoint and passes the answer on."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from hyssopway.event import Event, log_event
from hyssopway.result import Failure, ResultCode, WorkState

from .claims import MAX_KEPT_BODY_BYTES
from .headers import NOT_RUN_HEADER, REQUEST_ID_HEADER, answer_headers, request_headers
from .try_failed import TryFailedError

if TYPE_CHECKING:
    from hyssopway.clock import Clock
    from hyssopway.routing import HeldCredit

    from .call import Call
    from .claims import ClaimManager

CONNECT_S = 1.0
# A caller that takes nothing for this time would keep a slot of the endpoint until its deadline.
OUTPUT_IDLE_S = 5.0
# Answers up to this size are read whole first, so that one that is cut short can be tried again.
BUFFERED_ANSWER_BYTES = 64 * 1024


class SlowReaderError(ConnectionError):
    """The caller does not take its answer."""


class Forwarder:
    """Makes one try.

    Attributes:
        claims: Claims of non-idempotent requests.
        session: HTTP client with kept connections.
        once_session: HTTP client with a connection for each request, for non-idempotent ones.
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
        """Sends a request and passes a whole answer on.

        Raises:
            TryFailedError: There is no answer and the caller has got nothing yet.
        """
        call.sending = False
        try:
            async with asyncio.timeout(max(0.0, call.deadline - self.clock())):
                return await self._exchange(call, credit=credit)
        except (aiohttp.ClientError, OSError) as error:
            raise _explain(call, error=error) from error

    async def _exchange(self, call: Call, *, credit: HeldCredit) -> web.StreamResponse:
        request = call.request
        request_id = secrets.token_hex(8)
        remaining_s = call.deadline - self.clock()
        headers = request_headers(request.headers, request_id=request_id, remaining_s=remaining_s)
        decoded = "Content-Encoding" in request.headers
        if not call.body.whole and request.content_length is not None and not decoded:
            headers["Content-Length"] = str(request.content_length)
        path = request.match_info.get("path", "")
        query = f"?{request.query_string}" if request.query_string else ""
        session = self.session if call.claim is None else self.single_use_session
        async with session.request(
            request.method,
            f"{credit.credit.address}/{path}{query}",
            data=call.body.payload(),
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_S),
            trace_request_ctx=call,
            allow_redirects=False,
        ) as answer:
            _check_answer(call, answer=answer, request_id=request_id)
            return await self._pass_on(call, answer=answer, endpoint=credit.credit.endpoint)

    async def _pass_on(
        self, call: Call, *, answer: aiohttp.ClientResponse, endpoint: str
    ) -> web.StreamResponse:
        start, whole = await _read_start(answer)
        if call.claim is not None:
            kept = start if whole and len(start) <= MAX_KEPT_BODY_BYTES else None
            content_type = answer.headers.get("Content-Type", "")
            await self.claims.resolve(call.claim, status=answer.status, content_type=content_type, body=kept)
        headers = answer_headers(answer.headers)
        if whole:
            if call.request.method == "HEAD" and "Content-Length" in answer.headers:
                headers["Content-Length"] = answer.headers["Content-Length"]
            return web.Response(status=answer.status, headers=headers, body=start)
        response = web.StreamResponse(status=answer.status, headers=headers)
        response.content_length = answer.content_length
        call.answering = True
        await self._stream(call, answer=answer, response=response, start=start, endpoint=endpoint)
        return response

    async def _stream(
        self,
        call: Call,
        *,
        answer: aiohttp.ClientResponse,
        response: web.StreamResponse,
        start: bytes,
        endpoint: str,
    ) -> None:
        try:
            await response.prepare(call.request)
            await _write(response, part=start)
            while part := await answer.content.readany():
                await _write(response, part=part)
            await response.write_eof()
        except (aiohttp.ClientError, OSError, asyncio.CancelledError) as error:
            # Only a broken connection tells the caller that what it has got is not the whole answer.
            transport = call.request.transport
            open_still = transport is not None and not transport.is_closing()
            call.caller_gone = not open_still or isinstance(error, SlowReaderError)
            if open_still:
                transport.abort()
            log_event(Event.ANSWER_ABORTED, endpoint=endpoint, error=str(error) or type(error).__name__)
            raise


async def _write(response: web.StreamResponse, *, part: bytes) -> None:
    try:
        async with asyncio.timeout(OUTPUT_IDLE_S):
            await response.write(part)
    except TimeoutError as error:
        raise SlowReaderError(f"the caller took nothing for {OUTPUT_IDLE_S:g} s") from error


async def _read_start(answer: aiohttp.ClientResponse) -> tuple[bytes, bool]:
    """Returns the beginning of an answer and whether it is all of it."""
    parts: list[bytes] = []
    size = 0
    while size <= BUFFERED_ANSWER_BYTES:
        part = await answer.content.readany()
        if not part:
            return b"".join(parts), True
        parts.append(part)
        size += len(part)
    return b"".join(parts), False


def _check_answer(call: Call, *, answer: aiohttp.ClientResponse, request_id: str) -> None:
    echoed = answer.headers.get(REQUEST_ID_HEADER)
    if echoed != request_id:
        answer.close()  # what follows on this connection belongs to other requests
        message = f"the endpoint answered {'another request' if echoed else 'without a request id'}"
        raise TryFailedError(_may_have_run(ResultCode.ANSWER_MISMATCHED, message))
    if answer.headers.get(NOT_RUN_HEADER, "").lower() == "true":
        call.sending = False
        message = "the endpoint did not run the request"
        raise TryFailedError(Failure(code=ResultCode.ENDPOINT_REFUSED, message=message, retry_after_s=1.0))
    has_length = "Content-Length" in answer.headers or "Transfer-Encoding" in answer.headers
    if not has_length and call.request.method != "HEAD" and answer.status not in (204, 304):
        answer.close()
        # Without a length nobody can tell a whole answer from one that was cut short.
        message = "the endpoint answered without a length"
        raise TryFailedError(_may_have_run(ResultCode.ANSWER_INCOMPLETE, message))


def _explain(call: Call, *, error: Exception) -> TryFailedError:
    reason = str(error) or type(error).__name__
    if call.body.problem is not None:
        failure = call.body.problem
        if call.sending:
            failure = _may_have_run(failure.code, failure.message)
        return TryFailedError(failure, retry=False, endpoint_failed=False)
    if not call.sending:
        message = f"the endpoint could not be reached: {reason}"
        return TryFailedError(Failure(code=ResultCode.ENDPOINT_FAILED, message=message, retry_after_s=1.0))
    if call.caller_gone:
        failure = _may_have_run(ResultCode.ANSWER_INCOMPLETE, "the caller hung up")
        return TryFailedError(failure, retry=False, endpoint_failed=False)
    if isinstance(error, TimeoutError):
        message = "the endpoint did not answer before the deadline of the request"
        return TryFailedError(_may_have_run(ResultCode.DEADLINE_EXCEEDED, message), retry=False)
    if isinstance(error, aiohttp.ClientPayloadError):
        message = f"the answer of the endpoint was cut short: {reason}"
        return TryFailedError(_may_have_run(ResultCode.ANSWER_INCOMPLETE, message))
    message = f"the endpoint failed after the request was sent: {reason}"
    return TryFailedError(_may_have_run(ResultCode.ENDPOINT_FAILED, message))


def _may_have_run(code: ResultCode, message: str) -> Failure:
    return Failure(code=code, message=message, work=WorkState.MAY_HAVE_RUN)


__all__ = ["Forwarder"]
