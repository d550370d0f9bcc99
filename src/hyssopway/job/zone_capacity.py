"""Free capacity of one pool in one zone."""

from __future__ import annotations

from itertools import zip_longest
from typing import TYPE_CHECKING

from hyssopway.document import Resources

from .capacity_tree import CLOSED, CapacityTree

if TYPE_CHECKING:
    from hyssopway.control.record import Vm

# Sums of fractional needs differ from the exact value in the last digits.
ROUNDING = 1e-6


class ZoneCapacity:
    """One tree for each number of free accelerators.

    A task takes a VM with as few free accelerators as will do, so small work does not break up the VMs
    that whole-VM accelerator jobs need.

    Attributes:
        vms: VMs that take work, by name.
        free: Free capacity by VM.
        trees: Trees by number of free accelerators; built on first use.
        capacities: Capacity that each VM is counted with.
        total: Capacity of all VMs.
        free_cores: Free cores of all VMs.
    """

    __slots__ = ("capacities", "free", "free_cores", "order", "stale", "total", "trees", "vms")

    def __init__(self) -> None:
        self.vms: dict[str, Vm] = {}
        self.free: dict[str, Resources] = {}
        self.trees: dict[int, CapacityTree] = {}
        self.order: list[str] = []
        self.stale = True
        self.capacities: dict[str, Resources] = {}
        self.total = Resources()
        self.free_cores = 0.0

    @property
    def free_part(self) -> float:
        """Part of the cores that is free."""
        return self.free_cores / self.total.cores if self.total.cores else 0.0

    def put(self, vm: Vm, *, free: Resources) -> None:
        """Adds a VM or changes what it has free."""
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
            self.trees[before.accelerators].set(vm.name, cores=CLOSED, memory_gb=CLOSED)
        self._set(vm.name)

    def take_out(self, name: str) -> None:
        """Removes a VM that takes no work."""
        if self.vms.pop(name, None) is None:
            return
        free = self.free.pop(name)
        self.total = self.total - self.capacities.pop(name)
        self.free_cores -= free.cores
        if not self.stale:
            self.trees[free.accelerators].set(name, cores=CLOSED, memory_gb=CLOSED)

    def find(self, need: Resources, *, accelerators: int) -> str | None:
        """Returns a VM with this number of free accelerators that holds a need."""
        if self.stale:
            self._rebuild()
        tree = self.trees.get(accelerators)
        if tree is None:
            return None
        return tree.find(cores=need.cores - ROUNDING, memory_gb=need.memory_gb - ROUNDING)

    def free_accelerators(self) -> list[int]:
        """Returns the numbers of free accelerators that VMs had."""
        if self.stale:
            self._rebuild()
        return sorted(self.trees)

    def _rebuild(self) -> None:
        racks: dict[str, list[str]] = {}
        for name in sorted(self.vms):
            racks.setdefault(self.vms[name].rack, []).append(name)
        rows = zip_longest(*(racks[rack] for rack in sorted(racks)))
        self.order = [name for row in rows for name in row if name is not None]
        self.trees = {}
        self.stale = False
        classes: dict[int, dict[str, tuple[float, float]]] = {}
        for name in self.order:
            free = self.free[name]
            classes.setdefault(free.accelerators, {})[name] = (free.cores, free.memory_gb)
        for accelerators, values in classes.items():
            self.trees[accelerators] = CapacityTree(self.order)
            self.trees[accelerators].fill(values)
        if not self.trees:
            self.stale = True

    def _set(self, name: str) -> None:
        free = self.free[name]
        tree = self.trees.get(free.accelerators)
        if tree is None:
            tree = self.trees[free.accelerators] = CapacityTree(self.order)
        tree.set(name, cores=free.cores, memory_gb=free.memory_gb)


__all__ = ["ZoneCapacity"]
