"""Finds the requests in the bytes of a connection and holds what is unfinished."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from hyssopway.result import ResultCode

from .chunk_decoder import ChunkDecoder, body_too_large
from .framing_error import FramingError

if TYPE_CHECKING:
    from .request_limits import RequestLimits

HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"
METHOD_BYTES = b"ABCDEFGHIJKLMNOPQRSTUVWXYZ"
# Some clients send an empty line after a body.
TOLERATED_EMPTY_BYTES = 2
MAX_LENGTH_DIGITS = 15
CONNECT = b"connect "
COLON = ord(":")
LENGTH_FIELD = b"\r\ncontent-length"
CODING_FIELD = b"\r\ntransfer-encoding"
ENCODING_FIELD = b"\r\ncontent-encoding"
EXPECT_FIELD = b"\r\nexpect"
_EMPTY_LINES = re.compile(rb"(?:\r\n)+")
_FRAMING_FIELD = re.compile(
    rb"\r\n((?i:content-length|transfer-encoding|content-encoding|expect))[ \t]*:[ \t]*([^\r\n]*)"
)
_CONTINUE = b"100-continue"


class RequestFramer:
    """Splits the bytes of one connection into whole requests, within the limits.

    A chunked body is passed on with a Content-Length, so that the HTTP parser sees no chunks. If bodies are streamed, a
    request is returned with its head, and `next_part` returns its body, with the chunks that have arrived joined.

    Attributes:
        limits: Limits in force.
        buffer: Bytes that have arrived and belong to no returned request.
        head: Head of the request whose body has not arrived; empty otherwise.
        length: Length of that body; None if it is chunked.
        decoder: Decoder of that body if it is chunked.
        skipped_bytes: Bytes of empty lines before the next head.
        wants_continue: Whether the client waits for an interim response before it sends the body.
        is_body_open: Whether a body is streamed that has not arrived in full.
        is_held_up: Whether chunks wait because the last call reached its number of chunks.
    """

    __slots__ = (
        "buffer",
        "decoder",
        "head",
        "is_body_open",
        "is_held_up",
        "length",
        "limits",
        "scanned",
        "skipped_bytes",
        "wants_continue",
    )

    def __init__(self, *, limits: RequestLimits) -> None:
        self.limits = limits
        self.buffer = bytearray()
        self.head = b""
        self.length: int | None = 0
        self.decoder: ChunkDecoder | None = None
        self.scanned = 0
        self.skipped_bytes = 0
        self.wants_continue = False
        self.is_held_up = False
        self.is_body_open = False

    @property
    def held_bytes(self) -> int:
        """Number of bytes that this object holds."""
        decoded = len(self.decoder.body) if self.decoder is not None else 0
        return len(self.buffer) + len(self.head) + decoded

    @property
    def is_inside_request(self) -> bool:
        """Whether a part of a request has arrived."""
        return bool(self.buffer or self.head) or self.skipped_bytes > TOLERATED_EMPTY_BYTES

    def is_whole_request(self, data: bytes) -> bool:
        """Returns whether the bytes are exactly one request in the usual form, which needs no buffer.

        It spares most requests the buffer; False says nothing about the bytes.
        """
        size = data.find(HEAD_END) + len(HEAD_END)
        if size < len(HEAD_END) or size > self.limits.max_head_bytes or data[0] not in METHOD_BYTES:
            return False
        head = data[:size].lower()
        if CODING_FIELD in head or ENCODING_FIELD in head or EXPECT_FIELD in head or head.startswith(CONNECT):
            return False
        start = head.find(LENGTH_FIELD)
        if start < 0:
            return size == len(data)
        start += len(LENGTH_FIELD)
        length = head[start + 1 : head.find(LINE_END, start)].strip()
        if head[start] != COLON or len(length) > MAX_LENGTH_DIGITS or not length.isdigit():
            return False
        if head.find(LENGTH_FIELD, start) >= 0:
            return False
        return len(data) - size == int(length) <= self.limits.max_body_bytes

    def feed(self, data: bytes) -> None:
        """Adds bytes that have arrived."""
        self.buffer += data

    def clear(self) -> None:
        """Discards what has arrived."""
        self.buffer = bytearray()
        self.head = b""
        self.decoder = None
        self.scanned = self.skipped_bytes = 0
        self.wants_continue = self.is_held_up = self.is_body_open = False

    def next_request(self, *, max_chunks: int) -> bytes | None:
        """Removes and returns the next whole request; None if it has not arrived.

        Args:
            max_chunks: Number of chunks to decode at most.

        Raises:
            FramingError: The bytes are no request within the limits.
        """
        if not self.head and not self._read_head():
            return None
        if self.limits.streams_bodies:
            head, self.head = self.head, b""
            self.is_body_open = self.length != 0
            return head
        if self.decoder is not None:
            return self._decode_chunks(self.decoder, max_chunks=max_chunks)
        length = self.length or 0
        if len(self.buffer) < length:
            return None
        request = self.head if not length else self.head + self.buffer[:length]
        del self.buffer[:length]
        self.head = b""
        return bytes(request)

    def next_part(self, *, max_chunks: int) -> bytes:
        """Removes and returns what has arrived of a streamed body, with its framing; may be empty.

        Raises:
            FramingError: The body is malformed.
        """
        decoder = self.decoder
        if decoder is None:
            part = bytes(self.buffer[: self.length])
            del self.buffer[: len(part)]
            self.length = (self.length or 0) - len(part)
            self.is_body_open = self.length > 0
            return part
        self.is_held_up = decoder.decode(self.buffer, at_most=max_chunks)
        part = b"%x\r\n%s\r\n" % (len(decoder.body), decoder.body) if decoder.body else b""
        decoder.body.clear()
        if decoder.is_complete:
            part += b"0\r\n\r\n"
            self.is_body_open, self.decoder = False, None
        return part

    def _read_head(self) -> bool:
        buffer = self.buffer
        if buffer.startswith(LINE_END):
            self._skip_empty_lines()
        if not buffer:
            return False
        if buffer[0] not in METHOD_BYTES and buffer != b"\r":
            raise _malformed("the request does not begin with a method")
        end = buffer.find(HEAD_END, self.scanned)
        size = len(buffer) if end < 0 else end + len(HEAD_END)
        if size + self.skipped_bytes > self.limits.max_head_bytes:
            raise self._head_too_large()
        if end < 0:
            self.scanned = max(0, size - len(HEAD_END) + 1)
            return False
        self.head = bytes(buffer[:size])
        del buffer[:size]
        self.scanned = self.skipped_bytes = 0
        self._read_framing()
        return True

    def _skip_empty_lines(self) -> None:
        match = _EMPTY_LINES.match(self.buffer)
        if match is None:
            return
        skipped = match.end()
        self.skipped_bytes += skipped
        self.scanned = 0
        del self.buffer[:skipped]
        if self.skipped_bytes > self.limits.max_head_bytes:
            raise self._head_too_large()

    def _read_framing(self) -> None:
        head, self.length, self.decoder = self.head, 0, None
        if head.startswith(b"CONNECT "):
            raise FramingError(ResultCode.METHOD_NOT_ALLOWED, "CONNECT is not supported")
        fields: dict[bytes, re.Match[bytes]] = {}
        for match in _FRAMING_FIELD.finditer(head):
            name = match[1].lower()
            if name in fields:
                raise _malformed(f"{name.decode()} stands twice")
            fields[name] = match
        if not fields:
            return
        encoding = fields.get(b"content-encoding")
        if (
            encoding is not None
            and encoding[2].strip().lower() != b"identity"
            and not self.limits.streams_bodies
        ):
            raise _malformed("compressed bodies are not supported")
        coding, length = fields.get(b"transfer-encoding"), fields.get(b"content-length")
        removed = []
        if coding is not None:
            if length is not None or coding[2].strip().lower() != b"chunked":
                raise _malformed("the transfer coding of the body is not supported")
            self.length, self.decoder = None, ChunkDecoder(limits=self.limits)
            removed.append(coding)
        elif length is not None:
            self.length = self._read_length(length[2].strip())
        expect = fields.get(b"expect")
        if self.limits.streams_bodies:
            return  # the HTTP parser reads the framing, and its server sends the interim response
        if expect is not None and expect[2].strip().lower() == _CONTINUE:
            self.wants_continue = True
            removed.append(expect)
        for match in sorted(removed, key=re.Match.start, reverse=True):
            head = head[: match.start()] + head[match.end() :]
        self.head = head

    def _read_length(self, text: bytes) -> int:
        if not text.isdigit():
            raise _malformed("Content-Length is not a number")
        if len(text) > MAX_LENGTH_DIGITS or int(text) > self.limits.max_body_bytes:
            raise body_too_large(self.limits)
        return int(text)

    def _decode_chunks(self, decoder: ChunkDecoder, *, max_chunks: int) -> bytes | None:
        self.is_held_up = decoder.decode(self.buffer, at_most=max_chunks)
        if not decoder.is_complete:
            return None
        head = self.head[: -len(LINE_END)]
        request = b"%sContent-Length: %d\r\n\r\n%s" % (head, len(decoder.body), decoder.body)
        self.head, self.decoder = b"", None
        return request

    def _head_too_large(self) -> FramingError:
        message = f"the request head is larger than {self.limits.max_head_bytes} bytes"
        return FramingError(ResultCode.HEADER_TOO_LARGE, message)


def _malformed(message: str) -> FramingError:
    return FramingError(ResultCode.MALFORMED_REQUEST, message)


__all__ = ["RequestFramer"]
