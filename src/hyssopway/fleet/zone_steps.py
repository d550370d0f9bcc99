"""Decides how withdrawn zones are emptied and how zones return."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.control.apply.budgets import find_broken, find_excess
from hyssopway.control.command import ReturnPermit, SetZone, TakePermit
from hyssopway.control.record import PermitPurpose, VmState, ZoneStatus

if TYPE_CHECKING:
    from hyssopway.control import ControlState
    from hyssopway.control.record import Vm, Zone

    ZoneStep = TakePermit | ReturnPermit | SetZone

# A home sees its workers' load within one sync of 0.5 s; ten of them let it settle before the next VMs.
RETURN_STEP_MS = 5_000

# Each look at a budget reads all VMs.
MAX_TRIES = 8


def decide_zones(state: ControlState, *, now_ms: int, stepped_ms: dict[str, int]) -> list[ZoneStep]:
    """Returns the next steps of all zones.

    Args:
        state: Agreed state.
        now_ms: Agreed time.
        stepped_ms: Time of the last return step by zone; updated here. A new leader may step sooner.
    """
    steps: list[ZoneStep] = []
    for zone in state.tables.zones.values():
        if zone.status is ZoneStatus.WITHDRAWN:
            steps += _empty_zone(state, zone=zone)
        elif now_ms - stepped_ms.get(zone.name, 0) >= RETURN_STEP_MS:
            found = _return_zone(state, zone=zone)
            if found:
                stepped_ms[zone.name] = now_ms
            steps += found
    return steps


def holder_of(zone: Zone) -> str:
    """Returns the holder of the permits of a withdrawal."""
    return f"withdrawal of {zone.name}"


def list_spares(state: ControlState, *, outside: str) -> list[Vm]:
    """Returns the ready VMs of the spare pool in other zones that take tasks, idle ones first."""
    document = state.document()
    pools = {pool.name for pool in document.pools if pool.spare} if document else set()
    zones, running = state.tables.zones, state.indexes.running
    spares = [
        vm
        for vm in state.tables.vms.values()
        if vm.pool in pools
        and vm.state is VmState.READY
        and vm.zone != outside
        and zones[vm.zone].status is ZoneStatus.OPEN
    ]
    return sorted(spares, key=lambda vm: (len(running.get(vm.name, ())), vm.name))


def count_missing(state: ControlState, *, zone: Zone) -> dict[str, int]:
    """Returns by pool how many VMs of the zone are not yet made up for from the spare pool."""
    document = state.document()
    missing = {pool.name: 0 for pool in document.pools if not pool.spare} if document else {}
    holder = holder_of(zone)
    for vm in state.tables.vms.values():
        if vm.zone == zone.name and vm.pool in missing:
            missing[vm.pool] += 1
        if vm.zone != zone.name and vm.moved_for == holder and vm.pool in missing:
            missing[vm.pool] -= 1
    for permit in state.tables.permits.values():
        if permit.holder == holder and permit.target in missing:
            missing[permit.target] -= 1
    return {pool: count for pool, count in missing.items() if count > 0}


def _empty_zone(state: ControlState, *, zone: Zone) -> list[ZoneStep]:
    if find_broken(state):
        return []
    steps: list[ZoneStep] = [*_bring_capacity(state, zone=zone)]
    chosen: set[str] = set()
    vms = [vm for vm in state.tables.vms.values() if vm.zone == zone.name]
    for vm in sorted(vms, key=lambda vm: _urgency(state, vm=vm)):
        usable = vm.state in (VmState.READY, VmState.QUARANTINED)
        if not usable or vm.pool in chosen:
            continue
        # Only the whole budget of a pool limits a withdrawal, so a refusal holds for all its VMs.
        chosen.add(vm.pool)
        if not find_excess(state, vm=vm, purpose=PermitPurpose.WITHDRAWAL):
            steps.append(_permit(zone, vm=vm, purpose=PermitPurpose.WITHDRAWAL))
    return steps


def _bring_capacity(state: ControlState, *, zone: Zone) -> list[TakePermit]:
    """Moves one spare VM at a time to the pool that misses most."""
    missing = count_missing(state, zone=zone)
    if not missing:
        return []
    pool = max(missing, key=lambda name: (missing[name], name))
    for vm in list_spares(state, outside=zone.name)[:MAX_TRIES]:
        if not find_excess(state, vm=vm, purpose=PermitPurpose.MOVE):
            return [_permit(zone, vm=vm, purpose=PermitPurpose.MOVE, target=pool)]
    return []


def _urgency(state: ControlState, *, vm: Vm) -> tuple[bool, float, str]:
    """Orders VMs: urgent work first, then the most invested run time."""
    jobs = [state.tables.jobs[job_id] for job_id in state.indexes.running.get(vm.name, ())]
    invested_ms = sum(state.tables.now_ms - job.run.started_ms for job in jobs if job.run)
    return not any(job.spec.urgent for job in jobs), -invested_ms, vm.name


def _return_zone(state: ControlState, *, zone: Zone) -> list[ZoneStep]:
    """Returns at most one VM for each pool, then opens the zone, then sends borrowed VMs back."""
    holder = holder_of(zone)
    steps: dict[str, ZoneStep] = {}
    own = [permit for permit in state.tables.permits.values() if permit.holder == holder]
    for permit in own:
        vm = state.tables.vms[permit.vm]
        if permit.purpose is PermitPurpose.WITHDRAWAL and vm.pool not in steps:
            steps[vm.pool] = ReturnPermit(
                vm=vm.name, holder=holder, reason=f"zone {zone.name} returns", expected_epoch=vm.epoch
            )
    if steps:
        return list(steps.values())
    if zone.status is ZoneStatus.RETURNING:
        return [_open(zone)]
    return [*_send_back(state, zone=zone)]


def _send_back(state: ControlState, *, zone: Zone) -> list[TakePermit]:
    document = state.document()
    spare = next((pool.name for pool in document.pools if pool.spare), "") if document else ""
    vms = state.tables.vms.values()
    holder = holder_of(zone)
    borrowed = [vm for vm in vms if vm.moved_for == holder and vm.pool != spare and vm.state is VmState.READY]
    for vm in borrowed[:MAX_TRIES] if spare else []:
        if not find_excess(state, vm=vm, purpose=PermitPurpose.MOVE):
            return [_permit(zone, vm=vm, purpose=PermitPurpose.MOVE, target=spare)]
    return []


def _permit(zone: Zone, *, vm: Vm, purpose: PermitPurpose, target: str = "") -> TakePermit:
    return TakePermit(
        vm=vm.name, purpose=purpose, holder=holder_of(zone), expected_epoch=vm.epoch, target=target
    )


def _open(zone: Zone) -> SetZone:
    return SetZone(
        request_id=f"{zone.name}-{zone.epoch}-open",
        operator="leader",
        zone=zone.name,
        status=ZoneStatus.OPEN,
        expected_epoch=zone.epoch,
    )


__all__ = ["RETURN_STEP_MS", "count_missing", "decide_zones", "holder_of", "list_spares"]
