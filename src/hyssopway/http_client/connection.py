"""A client connection that carries one HTTP request at a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from .answer_reader import HttpAnswerReader, InvalidAnswerError

if TYPE_CHECKING:
    from .answer import HttpAnswer

# An answer that is read this much after its timeout, because the process was paused, is too old to be used.
MAX_READ_DELAY_S = 0.3


class HttpConnection(asyncio.Protocol):
    """An open connection to one host.

    A request is sent with a single write. A timeout takes effect only after the bytes that have arrived are read: while
    many requests are sent at once, their answers wait in the socket buffers.

    Attributes:
        loop: Event loop of the connection.
        transport: Transport of the connection; None before it is open and after it has ended.
        answer: Outcome of the request in progress; None while the connection is idle.
        reader: Reader of the answer to that request.
        idle_since: Time of the event loop at which the last answer was complete.
    """

    __slots__ = ("answer", "idle_since", "loop", "reader", "transport")

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[HttpAnswer] | None = None
        self.reader = HttpAnswerReader()
        self.idle_since = loop.time()

    async def exchange(self, request: bytes, *, timeout_s: float) -> HttpAnswer:
        """Sends a request and returns its answer; the connection must be idle.

        Raises:
            TimeoutError: No complete answer arrived in time.
            ConnectionError: The connection ended.
            InvalidAnswerError: The answer is not valid HTTP.
        """
        if self.transport is None:
            raise ConnectionResetError("the connection has ended")
        self.reader = HttpAnswerReader()
        answer: asyncio.Future[HttpAnswer] = self.loop.create_future()
        self.answer = answer
        sent_at = self.loop.time()
        self.transport.write(request)
        timer = self.loop.call_later(timeout_s, _fail, answer, TimeoutError())
        try:
            received = await answer
        finally:
            timer.cancel()
            self.answer = None
        self.idle_since = self.loop.time()
        if self.idle_since - sent_at > timeout_s + MAX_READ_DELAY_S:
            raise TimeoutError
        return received

    def abort(self) -> None:
        """Closes the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport of the open connection."""
        self.transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Reads a part of the answer."""
        answer = self.answer
        if answer is None or answer.done():
            self.abort()  # nothing was asked for
            return
        try:
            received = self.reader.feed(data)
        except InvalidAnswerError as error:
            _fail(answer, error)
            self.abort()
            return
        if received is not None:
            answer.set_result(received)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the request in progress, whose body may end with the connection."""
        self.transport = None
        answer = self.answer
        if answer is None or answer.done():
            return
        if exc is not None:
            _fail(answer, ConnectionResetError(f"the connection ended: {exc!r}"))
            return
        try:
            answer.set_result(self.reader.finish())
        except InvalidAnswerError as error:
            _fail(answer, ConnectionResetError(str(error)))


def _fail(answer: asyncio.Future[HttpAnswer], error: Exception) -> None:
    if not answer.done():
        answer.set_exception(error)


__all__ = ["HttpConnection"]
