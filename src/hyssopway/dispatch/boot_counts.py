"""Counts the boots of VMs that one leader has noticed."""

from __future__ import annotations

from collections import Counter


class BootCounts:
    """Number of boots of each VM in the term of one leader.

    A number never falls, also for a VM that leaves and comes back under its ID: calls for the boot before may still be on
    their way.

    Attributes:
        counts: Number of noticed boots by VM ID.
    """

    __slots__ = ("counts",)

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def read(self, vm: str) -> int:
        """Returns the number of boots of a VM that were noticed."""
        return self.counts[vm]

    def add(self, vm: str) -> None:
        """Counts one more boot of a VM; to count one twice does no harm."""
        self.counts[vm] += 1


__all__ = ["BootCounts"]
