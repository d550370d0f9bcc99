"""Memory of all request bodies in one process."""

from __future__ import annotations

# Four bodies of the default largest size; an entry VM is small.
MAX_BUFFERED_BYTES = 64 * 1024 * 1024


class BodyMemory:
    """Bounds what is kept of bodies until their requests end.

    Attributes:
        limit: Most bytes kept.
        taken: Bytes kept now.
    """

    __slots__ = ("limit", "taken")

    def __init__(self, *, limit: int = MAX_BUFFERED_BYTES) -> None:
        self.limit = limit
        self.taken = 0

    def take(self, size: int) -> bool:
        """Takes memory if that much is left."""
        if self.taken + size > self.limit:
            return False
        self.taken += size
        return True

    def give_back(self, size: int) -> None:
        """Gives memory back."""
        self.taken -= size


__all__ = ["BodyMemory"]
