"""Search tree that finds a VM with enough free capacity without scanning all VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

UNAVAILABLE = -1.0

# The maxima of a node may come from different VMs, so a search may descend into a subtree without a match.
# The bound keeps one decision cheap on a fleet whose VMs are unevenly full.
MAX_VISITS = 2000


class CapacityTree:
    """Complete binary tree whose nodes hold the maximum of free cores and of free memory below them.

    The search descends into the child with more free cores first, which spreads tasks. On a tie it takes the
    left child, so leaves that alternate between racks spread tasks over racks.

    Attributes:
        vm_names: VMs in leaf order.
        positions: Leaf number by VM.
        size: Number of leaves, a power of two.
        cores: Maximum of free cores by node.
        memory_gb: Maximum of free memory in GB by node.
    """

    __slots__ = ("cores", "memory_gb", "positions", "size", "vm_names")

    def __init__(self, vm_names: Sequence[str]) -> None:
        self.vm_names = list(vm_names)
        self.positions = {name: number for number, name in enumerate(self.vm_names)}
        self.size = 1 << max(0, len(self.vm_names) - 1).bit_length()
        self.cores = [UNAVAILABLE] * (2 * self.size)
        self.memory_gb = [UNAVAILABLE] * (2 * self.size)

    def set(self, name: str, *, cores: float, memory_gb: float) -> None:
        """Sets the free capacity of a VM; `UNAVAILABLE` for a VM that accepts no tasks."""
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

    def set_all(self, free: Mapping[str, tuple[float, float]]) -> None:
        """Sets the free capacity of many VMs and computes each inner node once."""
        for name, (cores, memory_gb) in free.items():
            node = self.positions[name] + self.size
            self.cores[node] = cores
            self.memory_gb[node] = memory_gb
        for node in range(self.size - 1, 0, -1):
            left, right = 2 * node, 2 * node + 1
            self.cores[node] = max(self.cores[left], self.cores[right])
            self.memory_gb[node] = max(self.memory_gb[left], self.memory_gb[right])

    def find(self, *, cores: float, memory_gb: float) -> str | None:
        """Returns a VM with this much free capacity, preferring VMs with more free cores.

        Returns None when there is none or when the search exceeds `MAX_VISITS` nodes.
        """
        stack = [1]
        for _ in range(MAX_VISITS):
            if not stack:
                return None
            node = stack.pop()
            if self.cores[node] < cores or self.memory_gb[node] < memory_gb:
                continue
            if node >= self.size:
                return self.vm_names[node - self.size]
            left, right = 2 * node, 2 * node + 1
            stack += [right, left] if self.cores[left] >= self.cores[right] else [left, right]
        return None


__all__ = ["MAX_VISITS", "UNAVAILABLE", "CapacityTree"]
