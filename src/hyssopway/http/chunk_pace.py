"""Limits the processor time that chunked bodies take."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.clock import Clock

# A chunk takes about 2 us of processor time. A body of legal size in chunks of one byte takes 2.6 s at this rate.
CHUNKS_PER_S = 100_000.0
BURST_CHUNKS = 5000
# Chunks of each request that count for nothing, so that an ordinary body never waits.
FREE_CHUNKS = 64


class ChunkPace:
    """Token bucket of the chunks that a process decodes.

    Attributes:
        clock: Local monotonic clock, in seconds.
        available: Chunks that may be decoded now.
        filled_at: Local time at which `available` was computed.
    """

    __slots__ = ("available", "clock", "filled_at")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.available = float(BURST_CHUNKS)
        self.filled_at = clock()

    def allow(self, *, decoded: int) -> int:
        """Returns how many further chunks a request may decode now.

        Args:
            decoded: Number of chunks that were decoded of this request.
        """
        if decoded < FREE_CHUNKS:
            return FREE_CHUNKS - decoded
        now = self.clock()
        filled = self.available + (now - self.filled_at) * CHUNKS_PER_S
        self.available, self.filled_at = min(filled, float(BURST_CHUNKS)), now
        return int(self.available)

    def spend(self, chunks: int) -> None:
        """Takes chunks that were decoded beyond the free ones."""
        self.available -= chunks


__all__ = ["FREE_CHUNKS", "ChunkPace"]
