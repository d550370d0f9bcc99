"""Assembly of a snapshot that is received in chunks."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .messages import SnapshotChunk


@dataclass(slots=True, kw_only=True)
class SnapshotAssembler:
    """Collects the chunks of one snapshot from one leader.

    Attributes:
        source: Term, leader id and index of the snapshot that the chunks belong to.
        data: Bytes received so far.
    """

    source: tuple[int, str, int] = (0, "", 0)
    data: bytearray = field(default_factory=bytearray)

    def add(self, chunk: SnapshotChunk) -> bool:
        """Adds the next chunk; returns False if it is out of order or belongs to another snapshot."""
        source = (chunk.term, chunk.leader, chunk.index)
        if chunk.offset == 0:
            self.source = source
            self.data.clear()
        if chunk.offset != len(self.data) or source != self.source:
            return False
        self.data += chunk.data
        return True


__all__ = ["SnapshotAssembler"]
