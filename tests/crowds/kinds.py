"""The kinds of crowds."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

from .crowd import CrowdKind

if TYPE_CHECKING:
    from collections.abc import Iterator

BODY_BYTES = 262_144
# What a client without end sends at most.
ENDLESS_BYTES = 1_000_000
LARGE_CHUNK_BYTES = 32_768
PIECE_BYTES = 8192
# One client in this number completes its request; the others stop one byte short and stay open.
COMPLETES_EVERY = 10
HEAD = b"POST /p/%016x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-0\r\n"


def _head(client: int) -> bytes:
    return HEAD % client


def _body_bytes(client: int) -> int:
    return BODY_BYTES if client % COMPLETES_EVERY == 0 else BODY_BYTES - 1


def heads_of_many_fields(client: int) -> Iterator[bytes]:
    yield _head(client)
    for number in range(ENDLESS_BYTES // 7000):
        yield b"X-%d: %s\r\n" % (number, b"a" * 7000)


def one_field(client: int) -> Iterator[bytes]:
    yield _head(client) + b"X: "
    for _ in range(ENDLESS_BYTES // 4000):
        yield b"a" * 4000


def empty_lines(client: int) -> Iterator[bytes]:
    for _ in range(2 * ENDLESS_BYTES // 16_384):
        yield b"\r\n" * 8192


def whole_bodies(client: int) -> Iterator[bytes]:
    yield _head(client) + b"Content-Length: %d\r\n\r\n%s" % (BODY_BYTES, b"x" * _body_bytes(client))


def bodies_in_pieces(client: int) -> Iterator[bytes]:
    yield _head(client) + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    size = _body_bytes(client)
    for start in range(0, size, PIECE_BYTES):
        yield b"x" * min(PIECE_BYTES, size - start)


def large_chunks(client: int) -> Iterator[bytes]:
    yield _head(client) + b"Transfer-Encoding: chunked\r\n\r\n"
    last = BODY_BYTES // LARGE_CHUNK_BYTES - 1
    for number in range(last + 1):
        data = b"x" * LARGE_CHUNK_BYTES
        if number == last and client % COMPLETES_EVERY:
            yield b"%x\r\n%s" % (LARGE_CHUNK_BYTES, data[:-1])
        else:
            yield b"%x\r\n%s\r\n" % (LARGE_CHUNK_BYTES, data)
    if client % COMPLETES_EVERY == 0:
        yield b"0\r\n\r\n"


def tiny_chunks(client: int) -> Iterator[bytes]:
    yield _head(client) + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(BODY_BYTES // 4096 - 1):
        yield b"1\r\nx\r\n" * 4096
    yield b"1\r\nx\r\n" * 4095
    if client % COMPLETES_EVERY == 0:
        yield b"1\r\nx\r\n0\r\n\r\n"


def requests_without_reading(client: int) -> Iterator[bytes]:
    request = b"GET /p/ HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-0\r\n\r\n"
    for _ in range(ENDLESS_BYTES // len(request) // 50):
        yield request * 50


def large_responses_without_reading(client: int) -> Iterator[bytes]:
    yield b"GET /hyssopway/config HTTP/1.1\r\nHost: a.example\r\n\r\n" * 100


def messages_between_nodes(client: int) -> Iterator[bytes]:
    # The header of one segment, in words of 8 bytes, and all of it but the last word.
    words = ENDLESS_BYTES // 8
    yield struct.pack("<II", 0, words) + b"\0" * (8 * (words - 1))


def only_connections(client: int) -> Iterator[bytes]:
    yield from ()


KINDS = {
    "heads of many fields": CrowdKind(clients=300, script=heads_of_many_fields),
    "one field without end": CrowdKind(clients=300, script=one_field),
    "empty lines": CrowdKind(clients=300, script=empty_lines),
    "whole bodies": CrowdKind(clients=300, script=whole_bodies),
    "bodies in pieces": CrowdKind(clients=300, script=bodies_in_pieces),
    "large chunks": CrowdKind(clients=300, script=large_chunks),
    "tiny chunks": CrowdKind(clients=100, script=tiny_chunks),
    "requests without reading": CrowdKind(clients=300, script=requests_without_reading, reads=False),
}
LARGE_RESPONSES = CrowdKind(clients=300, script=large_responses_without_reading, reads=False)
MESSAGES = CrowdKind(clients=300, script=messages_between_nodes)
CONNECTIONS = CrowdKind(clients=300, script=only_connections)

__all__ = ["CONNECTIONS", "KINDS", "LARGE_RESPONSES", "MESSAGES"]
