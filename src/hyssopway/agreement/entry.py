"""Entries of the replicated log."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class EntryKind(IntEnum):
    """Type of the data in a log entry."""

    COMMAND = 0
    NO_OPERATION = 1
    CONFIGURATION = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """A log entry; its position in the log is its index.

    Attributes:
        term: Term of the leader that created the entry.
        kind: Type of the data.
        data: Encoded command or configuration; empty for a no-op.
    """

    term: int
    kind: EntryKind = EntryKind.COMMAND
    data: bytes = b""


__all__ = ["Entry", "EntryKind"]
