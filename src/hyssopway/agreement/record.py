"""Checksummed records of the log file.

A record consists of a header with length, checksum and index, and of a body. The checksum covers index and body, so
it does not match when a record is stored under another index.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import xxhash

from .entry import Entry, EntryKind

if TYPE_CHECKING:
    from collections.abc import Iterator

_HEADER = struct.Struct("<IQQ")
_BODY = struct.Struct("<QB")

HEADER_BYTES = _HEADER.size
MAX_BODY_BYTES = 64 * 1024 * 1024


def encode_record(*, index: int, entry: Entry) -> bytes:
    """Encodes an entry as a record."""
    body = _BODY.pack(entry.term, entry.kind) + entry.data
    return _HEADER.pack(len(body), _checksum(index=index, body=body), index) + body


def decode_records(data: bytes) -> Iterator[tuple[int, int, Entry]]:
    """Yields end offset, index and entry of each record up to the first damaged one."""
    offset = 0
    while offset + HEADER_BYTES <= len(data):
        length, checksum, index = _HEADER.unpack_from(data, offset)
        start, end = offset + HEADER_BYTES, offset + HEADER_BYTES + length
        body = data[start:end]
        if length > MAX_BODY_BYTES or end > len(data) or _checksum(index=index, body=body) != checksum:
            return
        term, kind = _BODY.unpack_from(body)
        yield end, index, Entry(term=term, kind=EntryKind(kind), data=body[_BODY.size :])
        offset = end


def find_later_record(data: bytes, *, start: int) -> int | None:
    """Returns the offset of an intact record after a damaged one at `start`, or None.

    Nothing follows a torn write, so an intact record proves that the damage has another cause.
    """
    for offset in range(start + 1, len(data) - HEADER_BYTES):
        length, checksum, index = _HEADER.unpack_from(data, offset)
        end = offset + HEADER_BYTES + length
        if _BODY.size <= length <= MAX_BODY_BYTES and end <= len(data):
            body = data[offset + HEADER_BYTES : end]
            if _checksum(index=index, body=body) == checksum:
                return offset
    return None


def _checksum(*, index: int, body: bytes) -> int:
    return xxhash.xxh3_64_intdigest(body, seed=index)


__all__ = ["HEADER_BYTES", "decode_records", "encode_record", "find_later_record"]
