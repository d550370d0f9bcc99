"""One entry of the replicated log."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class EntryKind(IntEnum):
    """What an entry carries."""

    COMMAND = 0
    NO_OPERATION = 1
    CONFIGURATION = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """A log entry; its index is its position in the log.

    Attributes:
        term: Term of the leader that created it.
        kind: What it carries.
        data: Encoded command or configuration.
    """

    term: int
    kind: EntryKind = EntryKind.COMMAND
    data: bytes = b""


__all__ = ["Entry", "EntryKind"]
