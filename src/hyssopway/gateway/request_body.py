"""Body of a caller's request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from hyssopway.result import Failure, ResultCode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from hyssopway.clock import Clock

    from .body_memory import BodyMemory

# A caller that sends nothing for this time is given up.
INPUT_IDLE_S = 5.0
# A caller that trickles its body would keep a slot until its deadline, which may be an hour. A phone on a slow
# mobile network sends more than this.
INPUT_GRACE_S = 10.0
MIN_INPUT_BYTES_PER_S = 1024
_INPUT_ERRORS = (web.RequestPayloadError, HttpProcessingError, ConnectionError)


class BodyError(Exception):
    """The caller's body cannot be read.

    Attributes:
        failure: Answer to the caller.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class RequestBody:
    """Beginning of a body in memory and the rest as it arrives.

    Attributes:
        request: Request of the caller.
        limit: Most bytes accepted.
        started: Local time at which the request arrived.
        deadline: Local time by which it must have arrived.
        start: Beginning of the body.
        whole: Whether the beginning is all of it.
        consumed: Whether part of the rest was passed on, so that it cannot be sent again.
        memory: Memory of all bodies.
        taken: Bytes taken of it.
        problem: Why it could not be read.
    """

    __slots__ = (
        "clock",
        "consumed",
        "deadline",
        "limit",
        "memory",
        "problem",
        "request",
        "start",
        "started",
        "taken",
        "whole",
    )

    def __init__(
        self, *, request: web.Request, limit: int, deadline: float, clock: Clock, memory: BodyMemory
    ) -> None:
        self.memory = memory
        self.taken = 0
        self.request = request
        self.limit = limit
        self.deadline = deadline
        self.clock = clock
        self.started = clock()
        self.start = b""
        self.whole = not request.body_exists
        self.consumed = False
        self.problem: Failure | None = None

    async def read_start(self, *, up_to: int) -> None:
        """Reads the whole body, or more than `up_to` bytes of it.

        Raises:
            BodyError: It is too large, too slow or ends early.
        """
        if (self.request.content_length or 0) > self.limit:
            raise self._fail(_too_large(self.limit))
        parts = []
        size = 0
        while not self.whole and size <= up_to:
            part = await self._read_part(size=size)
            if part:
                if not self.memory.take(len(part)):
                    raise self._fail(_no_memory())
                self.taken += len(part)
                parts.append(part)
                size += len(part)
            else:
                self.whole = True
        self.start = b"".join(parts)

    def release(self) -> None:
        """Gives its memory back; the request has ended."""
        self.memory.give_back(self.taken)
        self.taken = 0

    def payload(self) -> bytes | AsyncIterator[bytes] | None:
        """Returns what is sent to an endpoint."""
        if self.whole:
            return self.start or None
        return self._stream()

    async def _stream(self) -> AsyncIterator[bytes]:
        self.consumed = True
        size = len(self.start)
        yield self.start
        while part := await self._read_part(size=size):
            size += len(part)
            yield part

    async def _read_part(self, *, size: int) -> bytes:
        content = self.request.content
        try:
            if content.is_eof():  # all of it has arrived, which is the usual case
                part = content.read_nowait()
            else:
                slowest = self.started + INPUT_GRACE_S + size / MIN_INPUT_BYTES_PER_S
                left_s = min(self.deadline, slowest) - self.clock()
                async with asyncio.timeout(max(0.0, min(INPUT_IDLE_S, left_s))):
                    part = await content.readany()
        except TimeoutError as error:
            message = "the request body did not arrive in time"
            raise self._fail(Failure(code=ResultCode.REQUEST_TOO_SLOW, message=message)) from error
        except _INPUT_ERRORS as error:
            message = f"the request body is not whole: {error}"
            raise self._fail(Failure(code=ResultCode.MALFORMED_REQUEST, message=message)) from error
        if size + len(part) > self.limit:
            raise self._fail(_too_large(self.limit))
        return part

    def _fail(self, failure: Failure) -> BodyError:
        self.problem = failure
        return BodyError(failure)


def _no_memory() -> Failure:
    message = "this entry holds too many bytes of request bodies"
    return Failure(code=ResultCode.QUEUE_FULL, message=message, retry_after_s=1.0)


def _too_large(limit: int) -> Failure:
    return Failure(code=ResultCode.BODY_TOO_LARGE, message=f"the request body is larger than {limit} bytes")


__all__ = ["BodyError", "RequestBody"]
