"""Free capacity of one pool in one zone."""

from __future__ import annotations

from itertools import zip_longest
from typing import TYPE_CHECKING

from hyssopway.document import Resources

from .capacity_tree import UNAVAILABLE, CapacityTree

if TYPE_CHECKING:
    from hyssopway.control.record import Vm

# Sums of fractional reservations differ from the exact value by floating-point rounding.
FLOAT_TOLERANCE = 1e-6


class ZoneCapacity:
    """Free capacity of the VMs, with one search tree for each number of free accelerators.

    A task is placed on a VM with as few free accelerators as suffice, so that small tasks do not fragment the
    VMs that jobs with many accelerators need.

    Attributes:
        vms: VMs that accept work, by name.
        free: Free capacity by VM.
        trees: Search trees by number of free accelerators; built on first use.
        leaf_order: VMs in leaf order of the trees, alternating between racks.
        stale: Whether the trees must be rebuilt before the next search.
        capacities: Capacity that each VM contributes to `total`.
        total: Capacity of all VMs.
        free_cores: Free cores of all VMs.
    """

    __slots__ = ("capacities", "free", "free_cores", "leaf_order", "stale", "total", "trees", "vms")

    def __init__(self) -> None:
        self.vms: dict[str, Vm] = {}
        self.free: dict[str, Resources] = {}
        self.trees: dict[int, CapacityTree] = {}
        self.leaf_order: list[str] = []
        self.stale = True
        self.capacities: dict[str, Resources] = {}
        self.total = Resources()
        self.free_cores = 0.0

    @property
    def free_fraction(self) -> float:
        """Fraction of the cores that is free."""
        return self.free_cores / self.total.cores if self.total.cores else 0.0

    def update_vm(self, vm: Vm, *, free: Resources) -> None:
        """Adds a VM or updates its free capacity."""
        if vm.name not in self.vms:
            self.capacities[vm.name] = vm.capacity
            self.total = self.total + vm.capacity
            self.vms[vm.name] = vm
            self.stale = self.stale or vm.name not in next(iter(self.trees.values())).positions
        before = self.free.get(vm.name)
        self.free[vm.name] = free
        self.free_cores += free.cores - (before.cores if before else 0.0)
        if self.stale:
            return
        if before is not None and before.accelerators != free.accelerators:
            self.trees[before.accelerators].set(vm.name, cores=UNAVAILABLE, memory_gb=UNAVAILABLE)
        self._set(vm.name)

    def remove_vm(self, name: str) -> None:
        """Removes a VM that accepts no more work."""
        if self.vms.pop(name, None) is None:
            return
        free = self.free.pop(name)
        self.total = self.total - self.capacities.pop(name)
        self.free_cores -= free.cores
        if not self.stale:
            self.trees[free.accelerators].set(name, cores=UNAVAILABLE, memory_gb=UNAVAILABLE)

    def find(self, need: Resources, *, accelerators: int) -> str | None:
        """Returns a VM with exactly this number of free accelerators whose free capacity fits `need`."""
        if self.stale:
            self._rebuild()
        tree = self.trees.get(accelerators)
        if tree is None:
            return None
        return tree.find(cores=need.cores - FLOAT_TOLERANCE, memory_gb=need.memory_gb - FLOAT_TOLERANCE)

    def free_accelerators(self) -> list[int]:
        """Returns, in ascending order, the numbers of free accelerators for which there is a tree."""
        if self.stale:
            self._rebuild()
        return sorted(self.trees)

    def _rebuild(self) -> None:
        racks: dict[str, list[str]] = {}
        for name in sorted(self.vms):
            racks.setdefault(self.vms[name].rack, []).append(name)
        interleaved = zip_longest(*(racks[rack] for rack in sorted(racks)))
        self.leaf_order = [name for row in interleaved for name in row if name is not None]
        self.trees = {}
        self.stale = False
        by_accelerators: dict[int, dict[str, tuple[float, float]]] = {}
        for name in self.leaf_order:
            free = self.free[name]
            by_accelerators.setdefault(free.accelerators, {})[name] = (free.cores, free.memory_gb)
        for accelerators, values in by_accelerators.items():
            self.trees[accelerators] = CapacityTree(self.leaf_order)
            self.trees[accelerators].set_all(values)
        if not self.trees:
            self.stale = True

    def _set(self, name: str) -> None:
        free = self.free[name]
        tree = self.trees.get(free.accelerators)
        if tree is None:
            tree = self.trees[free.accelerators] = CapacityTree(self.leaf_order)
        tree.set(name, cores=free.cores, memory_gb=free.memory_gb)


__all__ = ["ZoneCapacity"]
