"""Memory limit for the request bodies buffered in one process."""

from __future__ import annotations

# Four bodies of the default maximum size; entry VMs have little memory.
MAX_BUFFERED_BYTES = 64 * 1024 * 1024


class BodyMemoryBudget:
    """Limits the total size of buffered bodies until their requests end.

    Attributes:
        limit: Maximum number of reserved bytes.
        reserved: Number of reserved bytes.
    """

    __slots__ = ("limit", "reserved")

    def __init__(self, *, limit: int = MAX_BUFFERED_BYTES) -> None:
        self.limit = limit
        self.reserved = 0

    def reserve(self, size: int) -> bool:
        """Reserves `size` bytes; returns whether they were available."""
        if self.reserved + size > self.limit:
            return False
        self.reserved += size
        return True

    def release(self, size: int) -> None:
        """Releases `size` reserved bytes."""
        self.reserved -= size


__all__ = ["BodyMemoryBudget"]
