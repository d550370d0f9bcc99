"""A snapshot while its parts arrive."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .messages import SnapshotChunk


@dataclass(slots=True, kw_only=True)
class SnapshotAssembler:
    """Parts of one snapshot of one leader.

    Attributes:
        source: Term, leader and index of the snapshot that the parts belong to.
        data: Bytes collected.
    """

    source: tuple[int, str, int] = (0, "", 0)
    data: bytearray = field(default_factory=bytearray)

    def add(self, chunk: SnapshotChunk) -> bool:
        """Adds the next part; refuses a part of another snapshot or out of order."""
        source = (chunk.term, chunk.leader, chunk.index)
        if chunk.offset == 0:
            self.source = source
            self.data.clear()
        if chunk.offset != len(self.data) or source != self.source:
            return False
        self.data += chunk.data
        return True


__all__ = ["SnapshotAssembler"]
