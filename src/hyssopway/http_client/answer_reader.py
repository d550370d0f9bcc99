"""Reads one HTTP/1.1 answer from the bytes of a connection (RFC 9112, sections 4 to 7)."""

from __future__ import annotations

import re
from http import HTTPStatus

from .answer import HttpAnswer

HEAD_END = b"\r\n\r\n"
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) (\d{3})(?: .*)?")
LENGTH = re.compile(rb"\d{1,10}")
CHUNK_SIZE = re.compile(rb"([0-9a-fA-F]{1,8})[ \t]*(?:;.*)?")
MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_INTERIM_ANSWERS = 100
NO_CONTENT = 204
NOT_MODIFIED = 304


class InvalidAnswerError(Exception):
    """The bytes are no HTTP answer that this client understands, or the answer is too long or cut short."""


class HttpAnswerReader:
    """Collects the bytes of one answer.

    Attributes:
        data: Bytes that have arrived and are not decoded yet.
        body: Decoded part of a body in chunks.
        status: HTTP status; 0 until the head is complete.
        keeps_open: Whether the connection may carry another request after the answer.
        length: Number of bytes of the body; None if it comes in chunks or ends with the connection.
        is_chunked: Whether the body comes in chunks.
        interim_answers: Number of interim answers so far.
    """

    __slots__ = ("body", "data", "interim_answers", "is_chunked", "keeps_open", "length", "status")

    def __init__(self) -> None:
        self.data = b""
        self.body = bytearray()
        self.status = 0
        self.keeps_open = True
        self.length: int | None = None
        self.is_chunked = False
        self.interim_answers = 0

    def feed(self, data: bytes) -> HttpAnswer | None:
        """Adds bytes and returns the answer once it is complete.

        Raises:
            InvalidAnswerError: The answer is invalid or too long.
        """
        self.data += data
        if not self.status and not self._read_head():
            return None
        if len(self.data) + len(self.body) > MAX_BODY_BYTES:
            raise InvalidAnswerError(f"the body is longer than {MAX_BODY_BYTES} bytes")
        if self.is_chunked:
            return self._answer(bytes(self.body)) if self._read_chunks() else None
        if self.length is None or len(self.data) < self.length:
            return None
        return self._answer(self.data[: self.length], left=self.data[self.length :])

    def finish(self) -> HttpAnswer:
        """Returns the answer, whose body ends with the connection.

        Raises:
            InvalidAnswerError: The answer is incomplete.
        """
        if not self.status or self.is_chunked or self.length is not None:
            raise InvalidAnswerError("the connection ended before the answer was complete")
        self.keeps_open = False
        return self._answer(self.data)

    def _answer(self, body: bytes, *, left: bytes = b"") -> HttpAnswer:
        # Bytes after the answer belong to nothing that was asked for.
        return HttpAnswer(status=self.status, body=body, keeps_open=self.keeps_open and not left)

    def _read_head(self) -> bool:
        while True:
            head, separator, rest = self.data.partition(HEAD_END)
            if len(head) > MAX_HEAD_BYTES:
                raise InvalidAnswerError(f"the head is longer than {MAX_HEAD_BYTES} bytes")
            if not separator:
                return False
            status_line, *lines = head.split(b"\r\n")
            match = STATUS_LINE.fullmatch(status_line)
            if match is None:
                raise InvalidAnswerError(f"the status line is invalid: {status_line[:80]!r}")
            self.keeps_open = match[1] == b"1"
            status = int(match[2])
            if status >= HTTPStatus.OK:
                break
            self.interim_answers += 1
            if self.interim_answers > MAX_INTERIM_ANSWERS:
                raise InvalidAnswerError(f"there are more than {MAX_INTERIM_ANSWERS} interim answers")
            self.data = rest
        for line in lines:
            self._read_header(line)
        if status in (NO_CONTENT, NOT_MODIFIED):
            self.length, self.is_chunked = 0, False
        self.status, self.data = status, rest
        return True

    def _read_header(self, line: bytes) -> None:
        name, separator, value = line.partition(b":")
        if not separator:
            raise InvalidAnswerError(f"a header line has no colon: {line[:80]!r}")
        value = value.strip()
        match name.lower():
            case b"content-length":
                if not LENGTH.fullmatch(value) or self.length not in (None, int(value)):
                    raise InvalidAnswerError(f"the content length is invalid: {value[:80]!r}")
                self.length = int(value)
            case b"transfer-encoding":
                if value.lower() != b"chunked":
                    raise InvalidAnswerError(f"the transfer encoding is unknown: {value[:80]!r}")
                self.is_chunked = True
            case b"connection" if b"close" in value.lower():
                self.keeps_open = False
            case _:
                pass

    def _read_chunks(self) -> bool:
        data, position = self.data, 0
        while True:
            end = data.find(b"\r\n", position)
            if end < 0:
                if len(data) - position > MAX_HEAD_BYTES:
                    raise InvalidAnswerError("the line of a chunk size is too long")
                break
            line = data[position:end]
            match = CHUNK_SIZE.fullmatch(line)
            if match is None:
                raise InvalidAnswerError(f"the size of a chunk is invalid: {line[:80]!r}")
            size, start = int(match[1], 16), end + 2
            if not size:
                self.data = data[position:]
                return self._read_trailers(data[start:])
            if len(data) < start + size + 2:
                break
            if data[start + size : start + size + 2] != b"\r\n":
                raise InvalidAnswerError("a chunk is longer than its size")
            self.body += data[start : start + size]
            position = start + size + 2
        self.data = data[position:]
        return False

    def _read_trailers(self, rest: bytes) -> bool:
        if rest.startswith(b"\r\n"):
            return True
        return HEAD_END in rest


__all__ = ["HttpAnswerReader", "InvalidAnswerError"]
