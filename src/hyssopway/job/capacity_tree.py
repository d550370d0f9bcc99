"""Finds a VM with enough free capacity without looking at all of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

CLOSED = -1.0

# The largest cores and the largest memory below a node may belong to different VMs, so a search may go
# down in vain; the bound keeps one decision cheap on a fleet that is full in an uneven way.
MAX_VISITS = 2000


class CapacityTree:
    """A complete binary tree whose nodes hold the largest free cores and memory below them.

    The search prefers the emptier side, which spreads tasks; equal sides are taken in order of the leaves,
    so leaves that alternate over racks spread tasks over racks.

    Attributes:
        names: VMs in order of the leaves.
        positions: Leaf of each VM.
        size: Number of leaves, a power of two.
        cores: Largest free cores by node.
        memory_gb: Largest free memory by node.
    """

    __slots__ = ("cores", "memory_gb", "names", "positions", "size")

    def __init__(self, names: Sequence[str]) -> None:
        self.names = list(names)
        self.positions = {name: number for number, name in enumerate(self.names)}
        self.size = 1 << max(0, len(self.names) - 1).bit_length()
        self.cores = [CLOSED] * (2 * self.size)
        self.memory_gb = [CLOSED] * (2 * self.size)

    def set(self, name: str, *, cores: float, memory_gb: float) -> None:
        """Changes what a VM has free; `CLOSED` for a VM that takes nothing."""
        node = self.positions[name] + self.size
        self.cores[node] = cores
        self.memory_gb[node] = memory_gb
        while node > 1:
            node //= 2
            left, right = 2 * node, 2 * node + 1
            cores = max(self.cores[left], self.cores[right])
            memory_gb = max(self.memory_gb[left], self.memory_gb[right])
            if self.cores[node] == cores and self.memory_gb[node] == memory_gb:
                return
            self.cores[node] = cores
            self.memory_gb[node] = memory_gb

    def fill(self, free: Mapping[str, tuple[float, float]]) -> None:
        """Sets many VMs of a new tree, each inner node once."""
        for name, (cores, memory_gb) in free.items():
            node = self.positions[name] + self.size
            self.cores[node] = cores
            self.memory_gb[node] = memory_gb
        for node in range(self.size - 1, 0, -1):
            left, right = 2 * node, 2 * node + 1
            self.cores[node] = max(self.cores[left], self.cores[right])
            self.memory_gb[node] = max(self.memory_gb[left], self.memory_gb[right])

    def find(self, *, cores: float, memory_gb: float) -> str | None:
        """Returns a VM that has this much free, an emptier one first."""
        stack = [1]
        for _ in range(MAX_VISITS):
            if not stack:
                return None
            node = stack.pop()
            if self.cores[node] < cores or self.memory_gb[node] < memory_gb:
                continue
            if node >= self.size:
                return self.names[node - self.size]
            left, right = 2 * node, 2 * node + 1
            stack += [right, left] if self.cores[left] >= self.cores[right] else [left, right]
        return None


__all__ = ["CLOSED", "MAX_VISITS", "CapacityTree"]
