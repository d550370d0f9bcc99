"""HTTP connection that answers malformed input with numbered error codes."""

from __future__ import annotations

from contextlib import suppress
from http import HTTPStatus
from typing import TYPE_CHECKING, TypeVar

from aiohttp.web_protocol import RequestHandler, RequestPayloadError

from hyssopway.result import Failure, ResultCode

from .chunk_pace import FREE_CHUNKS
from .connection_phase import ConnectionPhase
from .error_response import encode_error_response, overload_failure, parser_error_response
from .framing_error import FramingError
from .request_framer import RequestFramer
from .request_memory import CloseReason

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from aiohttp import web
    from aiohttp.web_request import BaseRequest

    from .request_limits import RequestLimits
    from .request_memory import RequestMemory

T = TypeVar("T")

MAX_HEADERS = 100
# Reads on for this time after a rejected request, so that the caller receives the response.
LINGER_S = 2.0
# A client that sends more than this after its response does not wait for it.
MAX_LINGER_BYTES = 1024 * 1024
# Requests reach the parser whole, so it never has to stop reading.
PARSER_BUFFER_BYTES = 64 * 1024 * 1024
# A streamed body is read on when less than this of it waits.
STREAM_BUFFER_BYTES = 64 * 1024
# Size of the receive buffer of each connection; a connection that is not read holds as much.
RECEIVE_BUFFER_BYTES = 32 * 1024
# Time without a whole request after which a connection may be closed for another one.
RECLAIM_AFTER_S = 1.0
# Time after which a connection continues to decode chunks.
PACE_INTERVAL_S = 0.05
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ConnectionHandler(RequestHandler):
    """Serves one connection; passes whole requests to the HTTP parser, one at a time.

    Attributes:
        loop: Event loop of the connection.
        connections: All open connections, including this one, the oldest first.
        limits: Limits in force.
        memory: Bounds the bytes that all connections hold.
        framer: Holds what has arrived of the next requests.
        size_in_progress: Bytes of the request in progress; None without one.
        waits_since: Local time of the end of the last request, or of the first bytes of the next one.
        deadline: Local time at which what is unfinished is given up.
        is_half_closed: Whether the caller has closed its sending side.
        is_lingering: Whether the connection only waits for the caller to read its last response.
        is_doomed: Whether the connection closes after the request in progress.
    """

    __slots__ = (
        "connections",
        "deadline",
        "framer",
        "is_doomed",
        "is_half_closed",
        "is_held",
        "is_input_paused",
        "is_lingering",
        "limits",
        "linger_bytes",
        "loop",
        "memory",
        "pace_timer",
        "phase",
        "size_in_progress",
        "waits_since",
    )

    def __init__(
        self,
        server: web.Server,
        *,
        loop: asyncio.AbstractEventLoop,
        connections: dict[ConnectionHandler, None],
        limits: RequestLimits,
        memory: RequestMemory,
    ) -> None:
        super().__init__(
            server,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]  # aiohttp takes None for no access log
            max_line_size=limits.max_field_bytes,
            max_field_size=limits.max_field_bytes,
            max_headers=MAX_HEADERS,
            keepalive_timeout=limits.idle_timeout_s,
            lingering_time=LINGER_S,
            read_bufsize=STREAM_BUFFER_BYTES if limits.streams_bodies else PARSER_BUFFER_BYTES,
            auto_decompress=limits.streams_bodies,
        )
        self.loop = loop
        self.connections = connections
        self.limits = limits
        self.memory = memory
        self.framer = RequestFramer(limits=limits)
        self.size_in_progress: int | None = None
        self.deadline = float("inf")
        self.phase = ConnectionPhase.IDLE
        self.is_held = False
        self.is_half_closed = False
        self.is_input_paused = False
        self.is_lingering = False
        self.is_doomed = False
        self.linger_bytes = 0
        self.waits_since = 0.0
        self.pace_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection."""
        super().connection_made(transport)
        self.connections[self] = None
        self.waits_since = self.memory.clock()

    def data_received(self, data: bytes) -> None:
        """Collects bytes and passes the next request to the parser when it is whole."""
        if not data:
            super().data_received(data)  # aiohttp continues to parse what its parser holds
        elif self.is_lingering or self.is_doomed:
            self._discard(len(data))
        elif not self._force_close and not self._close:
            framer = self.framer
            if not self._waits() and framer.is_whole_request(data):
                self._pass_on(data)
                return
            framer.feed(data)
            if self.pace_timer is None:
                self._advance()

    def _waits(self) -> bool:
        """Returns whether what arrives now has to wait, or belongs to what has arrived."""
        framer = self.framer
        return (
            self.size_in_progress is not None
            or self.is_held
            or self._paused
            or self.is_half_closed
            or framer.is_body_open
            or bool(framer.buffer or framer.head or framer.skipped_bytes)
        )

    def eof_received(self) -> bool | None:  # type: ignore[override]
        """Handles a caller that closed its sending side.

        Returns:
            True to keep this side open for sending until the requests that have arrived have their responses. TLS
            closes both sides.
        """
        super().eof_received()
        self.is_half_closed = True
        if self.is_lingering:
            return None
        if self.framer.is_body_open and self.size_in_progress is None:
            self.force_close()  # the request was answered before its body was read
        elif self.framer.is_body_open:
            self._refuse(
                Failure(
                    code=ResultCode.MALFORMED_REQUEST, message="the connection ended inside the request body"
                )
            )
        elif self.size_in_progress is None and self.pace_timer is None:
            self._end_half_closed()
        return self.transport is not None and self.transport.can_write_eof()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Releases all that the connection holds."""
        self.connections.pop(self, None)
        self._cancel_pace()
        self._release()
        self._end_request()
        self.framer.clear()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Counts a response that the caller does not read as fast as it is written."""
        super().pause_writing()
        self._hold(ConnectionPhase.RESPONSE, timeout_s=self.limits.response_timeout_s)

    def resume_writing(self) -> None:
        """Continues with the next request when the caller has read most of the last response."""
        super().resume_writing()
        self._release()
        self._advance()

    async def finish_response(
        self, request: BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Sends a response and turns to the next request of the connection."""
        try:
            result = await super().finish_response(request, resp, start_time)
        finally:
            self._end_request()
        if result[0].keep_alive and self.transport is not None:
            self._turn_to_next()
        return result

    def is_reclaimable(self, now: float) -> bool:
        """Returns whether the connection has had no whole request for a while, so that another one may replace it."""
        waits = self.size_in_progress is None and not self._unsent_bytes()
        return waits and now - self.waits_since >= RECLAIM_AFTER_S

    def close_early(self, reason: CloseReason) -> None:
        """Closes the connection because of what it holds, or to make room for another one."""
        phase = self.phase
        was_sent = phase is ConnectionPhase.RESPONSE and not self._unsent_bytes()
        self._release()
        if was_sent and self.size_in_progress is None and not self.framer.buffer:
            # The caller has taken its response in the meantime.
            if reason is not CloseReason.CONNECTIONS:
                return
            phase = ConnectionPhase.IDLE
        self.memory.count_closed(CloseReason.UNREAD if phase is ConnectionPhase.RESPONSE else reason)
        if self.size_in_progress is not None and not self.writing_paused:
            # The request in progress still gets its response.
            self.is_doomed = True
            self.framer.clear()
            self._resume_input()
        elif phase is ConnectionPhase.RESPONSE:
            self._abort()
        elif reason is CloseReason.CONNECTIONS:
            if phase is not ConnectionPhase.IDLE:
                message = "the limit of connections is reached and this request was not complete"
                self._write(encode_error_response(overload_failure(message)))
            self.force_close()
        elif reason is CloseReason.SLOW:
            part = "head" if phase is ConnectionPhase.HEAD else "body"
            limit = self.limits.head_timeout_s if part == "head" else self.limits.body_timeout_s
            self._refuse(
                Failure(
                    code=ResultCode.REQUEST_TOO_SLOW,
                    message=f"the request {part} did not arrive within {limit:g} s",
                )
            )
        else:
            message = "the memory for unfinished requests is full and this one was the oldest"
            self._refuse(overload_failure(message))

    def _advance(self) -> None:
        """Passes the next whole request to the parser, or waits for the rest of it."""
        self._cancel_pace()
        if self.is_lingering or self.is_doomed or self._force_close or self._close:
            return
        if self.framer.is_body_open and not self._pass_on_body():
            return
        if self.size_in_progress is not None or self.writing_paused:
            self._wait_for_response()
            return
        try:
            request = self._read_paced(self.framer.next_request)
        except FramingError as error:
            self._refuse_malformed(error)
            return
        if request is None:
            self._wait_for_rest()
        else:
            self._begin_request(request)

    def _read_paced(self, read: Callable[..., T]) -> T:
        """Reads from the framer as many chunks as the process may decode now."""
        decoder, pace = self.framer.decoder, self.memory.pace
        decoded = decoder.chunks if decoder is not None else 0
        result = read(max_chunks=pace.allow(decoded=decoded))
        if decoder is not None and decoded >= FREE_CHUNKS:
            pace.spend(decoder.chunks - decoded)
        return result

    def _pass_on_body(self) -> bool:
        """Passes on what has arrived of a streamed body; returns whether that was its end."""
        framer = self.framer
        try:
            part = self._read_paced(framer.next_part)
        except FramingError as error:
            self._break_off_body(error)
            return False
        if part:
            super().data_received(part)
        if framer.is_held_up:
            self._pause_input()
            self.pace_timer = self.loop.call_later(PACE_INTERVAL_S, self._advance)
        elif framer.is_body_open:
            self._resume_input()
        return not framer.is_body_open

    def _break_off_body(self, error: FramingError) -> None:
        """Reports a malformed body to the handler, which may have passed on a part of it, and closes after its response."""
        self.framer.clear()
        self.is_doomed = True
        self.memory.count_closed(CloseReason.MALFORMED)
        request = self._current_request
        payload = (
            request.content if request is not None else self._messages[-1][1] if self._messages else None
        )
        if payload is not None:
            payload.set_exception(RequestPayloadError(str(error)))
            payload.feed_eof()

    def _refuse_malformed(self, error: FramingError) -> None:
        self._release()
        self.memory.count_closed(CloseReason.MALFORMED)
        self._refuse(Failure(code=error.code, message=str(error)))

    def _begin_request(self, request: bytes) -> None:
        self._release()
        if not self._pass_on(request):
            return
        is_whole = not self.framer.is_body_open or self._pass_on_body()
        if is_whole and self.framer.buffer:
            self._wait_for_response()
        elif not self.framer.is_held_up:
            self._resume_input()

    def _pass_on(self, request: bytes) -> bool:
        """Passes a request to the HTTP parser; returns False if it is refused."""
        size = len(request)
        if not self.memory.begin(size):
            self.memory.count_closed(CloseReason.MEMORY)
            self._refuse(overload_failure("the memory for requests in progress is full"))
            return False
        self.size_in_progress = size
        super().data_received(request)
        if not self._messages:
            self._end_request()
            self._refuse(Failure(code=ResultCode.MALFORMED_REQUEST, message="the request is not valid HTTP"))
            return False
        return True

    def _wait_for_rest(self) -> None:
        framer = self.framer
        if framer.is_held_up:
            self._pause_input()
            self.pace_timer = self.loop.call_later(PACE_INTERVAL_S, self._advance)
        elif self.is_half_closed:
            self._end_half_closed()
            return
        else:
            self._resume_input()
        if not framer.is_inside_request:
            self._release()
            self.phase = ConnectionPhase.IDLE
            return
        if framer.head:
            self._hold(ConnectionPhase.BODY, timeout_s=self.limits.body_timeout_s)
            if framer.wants_continue:
                framer.wants_continue = False
                self._write(CONTINUE_RESPONSE)
        else:
            self._hold(ConnectionPhase.HEAD, timeout_s=self.limits.head_timeout_s)

    def _wait_for_response(self) -> None:
        """Stops reading until the caller has its last response."""
        if self.framer.buffer:
            self._pause_input()
        if self.framer.buffer or self._unsent_bytes():
            self._hold(ConnectionPhase.RESPONSE, timeout_s=self.limits.response_timeout_s)

    def _turn_to_next(self) -> None:
        if self.is_doomed:
            self._linger()
            return
        if self._unsent_bytes():
            self.phase = ConnectionPhase.IDLE
            self._hold(ConnectionPhase.RESPONSE, timeout_s=self.limits.response_timeout_s)
        elif self.is_held:
            self._release()
        if self.framer.buffer:
            self.loop.call_soon(self._advance)
        elif self.is_half_closed:
            self.close()

    def _end_half_closed(self) -> None:
        if self.framer.is_inside_request:
            self._release()
            part = "body" if self.framer.head else "head"
            self._refuse(
                Failure(
                    code=ResultCode.MALFORMED_REQUEST,
                    message=f"the connection ended inside the request {part}",
                )
            )
        else:
            self.force_close()

    def _end_request(self) -> None:
        if self.size_in_progress is not None:
            self.memory.end(self.size_in_progress)
            self.size_in_progress = None
            self.waits_since = self.memory.clock()

    def _hold(self, phase: ConnectionPhase, *, timeout_s: float) -> None:
        if phase is not self.phase:
            now = self.memory.clock()
            if self.phase is ConnectionPhase.IDLE:
                self.waits_since = now
            self.phase = phase
            self.deadline = now + timeout_s
        size = self.framer.held_bytes + self._unsent_bytes()
        if self.is_input_paused:
            size += RECEIVE_BUFFER_BYTES
        self.is_held = True
        self.memory.hold(self, size=size)

    def _release(self) -> None:
        if self.is_held:
            self.is_held = False
            self.memory.release(self)
            self.phase = ConnectionPhase.IDLE

    def _unsent_bytes(self) -> int:
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def _pause_input(self) -> None:
        if not self.is_input_paused:
            self.is_input_paused = True
            self._pause_transport_reading()

    def _resume_input(self) -> None:
        if self.is_input_paused:
            self.is_input_paused = False
            if not self._reading_paused and not self._buffer_paused:
                self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        """Resumes reading for aiohttp, which does so with each part of a body, unless this class has paused it."""
        if not self.is_input_paused:
            super()._resume_transport_reading()

    def _discard(self, size: int) -> None:
        self.linger_bytes += size
        if self.linger_bytes > MAX_LINGER_BYTES and self.is_lingering:
            self._abort()

    def _refuse(self, failure: Failure) -> None:
        """Sends an error response and closes the connection when the caller has had time to read it."""
        self._write(encode_error_response(failure))
        self._linger()

    def _linger(self) -> None:
        self.is_lingering = True
        self._cancel_pace()
        self.framer.clear()
        self._resume_input()
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if self.is_half_closed or not transport.can_write_eof():
            transport.close()
            return
        with suppress(OSError):  # the caller has reset the connection
            transport.write_eof()
        self.loop.call_later(LINGER_S, self._abort)

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def _cancel_pace(self) -> None:
        if self.pace_timer is not None:
            self.pace_timer.cancel()
            self.pace_timer = None

    def _process_keepalive(self) -> None:
        """Closes an idle connection; one inside a request has other time limits."""
        if self.phase is ConnectionPhase.IDLE:
            super()._process_keepalive()
        else:
            self._keepalive_handle = self.loop.call_later(self.limits.idle_timeout_s, self._process_keepalive)

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
        return parser_error_response(status, exc=exc, message=message)


__all__ = ["ConnectionHandler"]
