"""Distinct VM capacities (shapes) of each pool."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hyssopway.document import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .record import Vm


@dataclass(slots=True, kw_only=True)
class PoolShapes:
    """Counts VMs of equal capacity, so that a check compares a few shapes instead of all VMs.

    Attributes:
        counts: Number of VMs of each capacity, by pool.
        known: Pool and capacity that each VM is counted under, by VM name.
    """

    counts: dict[str, Counter[Resources]] = field(default_factory=dict)
    known: dict[str, tuple[str, Resources]] = field(default_factory=dict)

    def update(self, vm: Vm) -> None:
        """Counts a VM that is new, was moved or has a different capacity."""
        if vm.name in self.known:
            pool, capacity = self.known[vm.name]
            self.counts[pool][capacity] -= 1
            if not self.counts[pool][capacity]:
                del self.counts[pool][capacity]
        self.known[vm.name] = (vm.pool, vm.capacity)
        self.counts.setdefault(vm.pool, Counter())[vm.capacity] += 1

    def rebuild(self, vms: Iterable[Vm]) -> None:
        """Counts all VMs."""
        for vm in vms:
            self.update(vm)

    def exceeds_every_vm(self, *, pool: str, need: Resources) -> bool:
        """Returns whether a pool has VMs and none of them is large enough, even when empty."""
        shapes = self.counts.get(pool)
        return bool(shapes) and not any(need.fits_in(shape) for shape in shapes or ())

    def largest(self, *, pool: str) -> Resources:
        """Returns the maximum of each resource over the VMs of a pool."""
        shapes = self.counts.get(pool, Counter())
        return Resources(
            cores=max((shape.cores for shape in shapes), default=0.0),
            memory_gb=max((shape.memory_gb for shape in shapes), default=0.0),
            accelerators=max((shape.accelerators for shape in shapes), default=0),
        )


__all__ = ["PoolShapes"]
