"""Placement of runs and free capacity, updated incrementally from changes of the replicated state."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hyssopway.control.record import Vm, VmState, ZoneStatus
from hyssopway.control.tables import Tables
from hyssopway.document import Resources

from .zone_capacity import ZoneCapacity

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hyssopway.control.record import Job


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacedRun:
    """Run that the scheduler has reserved capacity for.

    Attributes:
        vm: Name of the VM.
        pool: Pool of the job.
        team: Team of the job.
        need: Capacity reserved for the run.
        epoch: Number of the run.
    """

    vm: str
    pool: str
    team: str
    need: Resources
    epoch: int


@dataclass(slots=True, kw_only=True)
class FleetView:
    """Free capacity by pool and zone.

    Attributes:
        tables: Records of the replicated state.
        zones: Capacity by pool and zone.
        where: Pool and zone under which a VM's capacity is counted.
        used: Capacity reserved on each VM.
        placed: Placed runs by job.
        held: Jobs with a placed run by pool and team, oldest first.
        parts: Usable fraction of the capacity of zones that are returning.
        quarantined: Quarantined VMs by name.
        held_out: VMs excluded from placement because they are suspected to be faulty, with the local time at
            which the exclusion ends.
        silent: Homes out of contact, whose VMs are excluded from placement.
    """

    tables: Tables
    zones: dict[str, dict[str, ZoneCapacity]] = field(default_factory=dict)
    where: dict[str, tuple[str, str]] = field(default_factory=dict)
    used: dict[str, Resources] = field(default_factory=dict)
    placed: dict[str, PlacedRun] = field(default_factory=dict)
    held: dict[tuple[str, str], dict[str, None]] = field(default_factory=dict)
    parts: dict[str, float] = field(default_factory=dict)
    quarantined: dict[str, Vm] = field(default_factory=dict)
    held_out: dict[str, float] = field(default_factory=dict)
    silent: frozenset[str] = frozenset()

    def place(self, job: Job, *, vm: str, need: Resources, epoch: int) -> None:
        """Reserves capacity for a run."""
        self.release(job.job_id)
        placed = PlacedRun(vm=vm, pool=job.spec.pool, team=job.team, need=need, epoch=epoch)
        self.placed[job.job_id] = placed
        self.held.setdefault((placed.pool, placed.team), {})[job.job_id] = None
        self.used[vm] = self.used.get(vm, Resources()) + need
        self.refresh_vm(vm)

    def release(self, job_id: str) -> None:
        """Releases the capacity reserved for a run."""
        placed = self.placed.pop(job_id, None)
        if placed is None:
            return
        self.held[placed.pool, placed.team].pop(job_id, None)
        self.used[placed.vm] = self.used[placed.vm] - placed.need
        self.refresh_vm(placed.vm)

    def refresh_vm(self, name: str) -> None:
        """Updates the capacity of a VM from its record."""
        vm = self.tables.vms.get(name)
        if vm is not None and vm.state is VmState.QUARANTINED:
            self.quarantined[name] = vm
        else:
            self.quarantined.pop(name, None)
        place = (vm.pool, vm.zone) if vm and self._is_open(vm) else None
        before = self.where.get(name)
        if before is not None and before != place:
            self.zones[before[0]][before[1]].remove_vm(name)
            del self.where[name]
        if vm is None or place is None:
            return
        self.where[name] = place
        capacity = self.zones.setdefault(vm.pool, {}).setdefault(vm.zone, ZoneCapacity())
        capacity.update_vm(vm, free=vm.capacity - self.used.get(name, Resources()))

    def find(self, *, pool: str, need: Resources, avoid: Sequence[str] = ()) -> Vm | None:
        """Returns a VM that fits, one of `avoid` only when no other does."""
        avoided = [name for name in avoid if name in self.where]
        for name in avoided:
            self.zones[self.where[name][0]][self.where[name][1]].remove_vm(name)
        found = self._find_best(pool=pool, need=need)
        for name in avoided:
            self.refresh_vm(name)
        return found if found is not None or not avoided else self._find_best(pool=pool, need=need)

    def _find_best(self, *, pool: str, need: Resources) -> Vm | None:
        """Returns the VM that fits with the fewest free accelerators, then in the emptiest zone, then emptiest."""
        zones = self.zones.get(pool, {})
        usable = [
            zone
            for name, zone in zones.items()
            if zone.vms and self._is_within_ramp_up(name, zone, need=need)
        ]
        usable.sort(key=lambda zone: -zone.free_fraction)
        classes = sorted({number for zone in usable for number in zone.free_accelerators()})
        for accelerators in classes:
            if accelerators < need.accelerators:
                continue
            for zone in usable:
                name = zone.find(need, accelerators=accelerators)
                if name is not None:
                    return zone.vms[name]
        return None

    def exclude(self, name: str, *, until: float) -> None:
        """Excludes a VM from placement until a local time."""
        self.held_out[name] = until
        self.refresh_vm(name)

    def set_silent_homes(self, homes: frozenset[str]) -> None:
        """Excludes the VMs of these homes from placement and readmits those of all other homes."""
        changed = homes ^ self.silent
        self.silent = homes
        if changed:
            for name in [vm.name for vm in self.tables.vms.values() if vm.home in changed]:
                self.refresh_vm(name)

    def end_exclusions(self, *, now: float) -> None:
        """Readmits VMs whose exclusion has expired."""
        for name in [name for name, until in self.held_out.items() if until <= now]:
            del self.held_out[name]
            self.refresh_vm(name)

    def free_capacity(self, vm: str) -> Resources:
        """Returns the free capacity of a VM."""
        return self.tables.vms[vm].capacity - self.used.get(vm, Resources())

    def total(self) -> Resources:
        """Returns the capacity of all VMs that accept work."""
        total = Resources()
        for zones in self.zones.values():
            for zone in zones.values():
                total = total + zone.total
        return total

    def _is_within_ramp_up(self, name: str, zone: ZoneCapacity, *, need: Resources) -> bool:
        part = self.parts.get(name, 1.0)
        return part >= 1.0 or zone.total.cores - zone.free_cores + need.cores <= part * zone.total.cores

    def _is_open(self, vm: Vm) -> bool:
        if vm.name in self.held_out or vm.home in self.silent:
            return False
        return vm.state is VmState.READY and self.tables.zones[vm.zone].status is not ZoneStatus.WITHDRAWN


__all__ = ["FleetView", "PlacedRun"]
