"""Reads, limits and buffers the body of a caller's request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from hyssopway.result import Failure, ResultCode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from hyssopway.clock import Clock

    from .body_memory_budget import BodyMemoryBudget

# The request is rejected if the caller sends no data for this time.
BODY_READ_TIMEOUT_S = 5.0
# Minimum rate after the grace period. A caller that trickles its body would otherwise hold a slot until its
# deadline, which can be an hour away. A phone on a slow mobile network sends faster than this.
BODY_GRACE_S = 10.0
MIN_BODY_BYTES_PER_S = 1024
_BODY_READ_ERRORS = (web.RequestPayloadError, HttpProcessingError, ConnectionError)


class BodyError(Exception):
    """The request body could not be read.

    Attributes:
        failure: Failure to report to the caller.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class RequestBody:
    """Request body with a buffered prefix and a streamed rest.

    Attributes:
        request: HTTP request of the caller.
        limit: Maximum size in bytes.
        started: Local time in seconds at which the request arrived.
        deadline: Local time in seconds by which the body must have arrived.
        prefix: Buffered first part of the body.
        complete: Whether the prefix is the whole body.
        consumed: Whether streaming has begun, so that the body can't be sent again.
        memory_budget: Memory shared by all request bodies.
        reserved: Bytes reserved from the memory budget.
        read_failure: Why the body could not be read, if so.
    """

    __slots__ = (
        "clock",
        "complete",
        "consumed",
        "deadline",
        "limit",
        "memory_budget",
        "prefix",
        "read_failure",
        "request",
        "reserved",
        "started",
    )

    def __init__(
        self,
        *,
        request: web.Request,
        limit: int,
        deadline: float,
        clock: Clock,
        memory_budget: BodyMemoryBudget,
    ) -> None:
        self.memory_budget = memory_budget
        self.reserved = 0
        self.request = request
        self.limit = limit
        self.deadline = deadline
        self.clock = clock
        self.started = clock()
        self.prefix = b""
        self.complete = not request.body_exists
        self.consumed = False
        self.read_failure: Failure | None = None

    async def read_prefix(self, *, up_to: int) -> None:
        """Reads the whole body, or stops once more than `up_to` bytes are buffered.

        Raises:
            BodyError: The body is too large, too slow or truncated, or the memory is exhausted.
        """
        if (self.request.content_length or 0) > self.limit:
            raise self._fail(_too_large(self.limit))
        parts = []
        size = 0
        while not self.complete and size <= up_to:
            part = await self._read_part(size=size)
            if part:
                if not self.memory_budget.reserve(len(part)):
                    raise self._fail(_memory_exhausted())
                self.reserved += len(part)
                parts.append(part)
                size += len(part)
            else:
                self.complete = True
        self.prefix = b"".join(parts)

    def release(self) -> None:
        """Releases the reserved memory after the request has ended."""
        self.memory_budget.release(self.reserved)
        self.reserved = 0

    def payload(self) -> bytes | AsyncIterator[bytes] | None:
        """Returns the body to send to an endpoint."""
        if self.complete:
            return self.prefix or None
        return self._stream()

    async def _stream(self) -> AsyncIterator[bytes]:
        self.consumed = True
        size = len(self.prefix)
        yield self.prefix
        while part := await self._read_part(size=size):
            size += len(part)
            yield part

    async def _read_part(self, *, size: int) -> bytes:
        content = self.request.content
        try:
            if content.is_eof():  # the whole body has arrived, the usual case
                part = content.read_nowait()
            else:
                slowest = self.started + BODY_GRACE_S + size / MIN_BODY_BYTES_PER_S
                left_s = min(self.deadline, slowest) - self.clock()
                async with asyncio.timeout(max(0.0, min(BODY_READ_TIMEOUT_S, left_s))):
                    part = await content.readany()
        except TimeoutError as error:
            message = "the request body did not arrive in time"
            raise self._fail(Failure(code=ResultCode.REQUEST_TOO_SLOW, message=message)) from error
        except _BODY_READ_ERRORS as error:
            message = f"the request body is incomplete or malformed: {error}"
            raise self._fail(Failure(code=ResultCode.MALFORMED_REQUEST, message=message)) from error
        if size + len(part) > self.limit:
            raise self._fail(_too_large(self.limit))
        return part

    def _fail(self, failure: Failure) -> BodyError:
        self.read_failure = failure
        return BodyError(failure)


def _memory_exhausted() -> Failure:
    message = "the memory for request bodies at this entry is exhausted"
    return Failure(code=ResultCode.QUEUE_FULL, message=message, retry_after_s=1.0)


def _too_large(limit: int) -> Failure:
    return Failure(code=ResultCode.BODY_TOO_LARGE, message=f"the request body is larger than {limit} bytes")


__all__ = ["BodyError", "RequestBody"]
