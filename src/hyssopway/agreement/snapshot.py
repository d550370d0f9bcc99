"""Snapshots of the replicated state."""

from __future__ import annotations

import struct
from dataclasses import dataclass

_HEADER = struct.Struct("<QQI")


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """Replicated state up to a log index.

    Attributes:
        index: Index of the last entry that the snapshot covers.
        term: Term of that entry.
        configuration: Encoded configuration at that index.
        data: Encoded state of the state machine.
    """

    index: int = 0
    term: int = 0
    configuration: bytes = b""
    data: bytes = b""

    def encode(self) -> bytes:
        """Encodes the snapshot for its file."""
        return _HEADER.pack(self.index, self.term, len(self.configuration)) + self.configuration + self.data

    @staticmethod
    def decode(raw: bytes) -> Snapshot:
        """Decodes a snapshot file."""
        index, term, length = _HEADER.unpack_from(raw)
        start = _HEADER.size
        return Snapshot(
            index=index, term=term, configuration=raw[start : start + length], data=raw[start + length :]
        )


__all__ = ["Snapshot"]
