"""Decodes a chunked request body."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from hyssopway.result import ResultCode

from .framing_error import FramingError

if TYPE_CHECKING:
    from .request_limits import RequestLimits

LINE_END = b"\r\n"
# A chunk size with its extensions.
MAX_SIZE_LINE_BYTES = 256
MAX_TRAILER_BYTES = 8192
_SIZE = re.compile(rb"([0-9a-fA-F]{1,15})[ \t]*(?:;.*)?")


class ChunkDecoder:
    """Decodes one chunked body into one buffer, however small the chunks are.

    Attributes:
        limits: Limits in force.
        body: Decoded bytes so far.
        left: Bytes of the current chunk that have not arrived.
        chunks: Number of chunks decoded so far.
        is_complete: Whether the last chunk and the trailers have arrived.
    """

    __slots__ = (
        "body",
        "chunks",
        "in_trailers",
        "is_complete",
        "left",
        "limits",
        "needs_line_end",
        "trailer_bytes",
    )

    def __init__(self, *, limits: RequestLimits) -> None:
        self.limits = limits
        self.body = bytearray()
        self.left = 0
        self.chunks = 0
        self.needs_line_end = False
        self.in_trailers = False
        self.trailer_bytes = 0
        self.is_complete = False

    def decode(self, buffer: bytearray, *, at_most: int) -> bool:
        """Decodes and removes chunks at the beginning of a buffer.

        Args:
            buffer: Bytes that have arrived and are not decoded yet.
            at_most: Number of chunks after which to stop.

        Returns:
            Whether it stopped because of `at_most`.

        Raises:
            FramingError: The body is malformed or too large.
        """
        position, last = 0, self.chunks + at_most
        while not self.is_complete:
            if self.left:
                part = buffer[position : position + self.left]
                self.body += part
                position += len(part)
                self.left -= len(part)
                if self.left:
                    break
                self.needs_line_end = True
            if self.needs_line_end:
                end = buffer[position : position + 2]
                if end != LINE_END:
                    if len(end) == len(LINE_END) or (end and end != b"\r"):
                        raise _malformed("a chunk is longer than its size")
                    break
                position += len(LINE_END)
                self.needs_line_end = False
            if self.chunks >= last:
                del buffer[:position]
                return True
            max_bytes = MAX_TRAILER_BYTES if self.in_trailers else MAX_SIZE_LINE_BYTES
            end_of_line = buffer.find(LINE_END, position, position + max_bytes)
            if end_of_line < 0:
                if len(buffer) - position >= max_bytes:
                    raise _malformed("a line of the chunked body is too long")
                break
            self._read_line(bytes(buffer[position:end_of_line]))
            position = end_of_line + len(LINE_END)
        del buffer[:position]
        return False

    def _read_line(self, line: bytes) -> None:
        if self.in_trailers:
            self.trailer_bytes += len(line) + len(LINE_END)
            if self.trailer_bytes > MAX_TRAILER_BYTES:
                raise _malformed("the trailers of the chunked body are too long")
            self.is_complete = not line
            return
        match = _SIZE.fullmatch(line)
        if match is None:
            raise _malformed("the size of a chunk is malformed")
        self.chunks += 1
        self.left = int(match[1], 16)
        self.in_trailers = not self.left
        if self.limits.streams_bodies:
            return  # handlers limit what they read
        if len(self.body) + self.left > self.limits.max_body_bytes:
            raise body_too_large(self.limits)


def body_too_large(limits: RequestLimits) -> FramingError:
    """Returns the error of a body over the limit; it is final only if the limit is known to be in force."""
    message = f"the body is larger than {limits.max_body_bytes} bytes"
    if limits.is_confirmed:
        return FramingError(ResultCode.BODY_TOO_LARGE, message)
    return FramingError(ResultCode.NOT_LEADER, f"{message}, the limit until a leader is known")


def _malformed(message: str) -> FramingError:
    return FramingError(ResultCode.MALFORMED_REQUEST, message)


__all__ = ["ChunkDecoder", "body_too_large"]
