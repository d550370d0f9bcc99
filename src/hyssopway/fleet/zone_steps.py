"""Decides how withdrawn zones are emptied and how zones return."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from hyssopway.control.apply.budgets import find_broken_budget, find_exhausted_budget
from hyssopway.control.command import MoveVm, ReturnPermit, SetZone, TakePermit
from hyssopway.control.record import PermitPurpose, VmState, ZoneStatus

from .holders import holder_of, is_away

if TYPE_CHECKING:
    from hyssopway.control import ControlState
    from hyssopway.control.record import Vm, Zone

    ZoneStep = TakePermit | ReturnPermit | SetZone | MoveVm

# A home sees its workers' load within one sync of 0.5 s; ten of them let it settle before the next VMs.
RETURN_STEP_MS = 5_000

# Each look at a budget reads all VMs.
MAX_TRIES = 8


def decide_zones(state: ControlState, *, now_ms: int, last_return_ms: dict[str, int]) -> list[ZoneStep]:
    """Returns the next steps of all zones.

    Args:
        state: Agreed state.
        now_ms: Agreed time.
        last_return_ms: Time of the last return step by zone; updated here. A new leader may step sooner.
    """
    steps: list[ZoneStep] = []
    for zone in state.tables.zones.values():
        if zone.status is ZoneStatus.WITHDRAWN:
            steps += _empty_zone(state, zone=zone)
        elif now_ms - last_return_ms.get(zone.name, 0) >= RETURN_STEP_MS:
            found = _return_zone(state, zone=zone)
            if found:
                last_return_ms[zone.name] = now_ms
            steps += found
    return steps


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
        and not is_away(vm)
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
        if vm.zone == zone.name and vm.moved_for == holder and vm.moved_from in missing:
            # Its pool got a spare VM for it, which is subtracted above.
            missing[vm.moved_from] += 1
    for permit in state.tables.permits.values():
        if permit.holder == holder and permit.target in missing:
            missing[permit.target] -= 1
    return {pool: count for pool, count in missing.items() if count > 0}


def _empty_zone(state: ControlState, *, zone: Zone) -> list[ZoneStep]:
    if find_broken_budget(state):
        return []
    steps: list[ZoneStep] = [*_bring_capacity(state, zone=zone)]
    chosen: set[str] = set()
    for vm in sorted(_usable_in(state, zone=zone), key=lambda vm: _urgency(state, vm=vm)):
        if vm.pool in chosen:
            continue
        # Only the whole budget of a pool limits a withdrawal, so a refusal holds for all its VMs.
        chosen.add(vm.pool)
        if not find_exhausted_budget(state, vm=vm, purpose=PermitPurpose.WITHDRAWAL):
            steps.append(_permit(zone, vm=vm, purpose=PermitPurpose.WITHDRAWAL))
        else:
            steps += _swap_out(state, zone=zone, pool=vm.pool)
    return steps


def _swap_out(state: ControlState, *, zone: Zone, pool: str) -> list[MoveVm]:
    """Moves a drained VM to the spare pool for a spare VM that its pool got, so that the next can stop."""
    spare, holder = _spare_pool(state), holder_of(zone)
    vms = [vm for vm in state.tables.vms.values() if vm.moved_for == holder]
    borrowed = sum(vm.zone != zone.name and vm.pool == pool and vm.state is VmState.READY for vm in vms)
    swapped = sum(vm.zone == zone.name and vm.moved_from == pool for vm in vms)
    if not spare or pool == spare or swapped >= borrowed:
        return []
    # The spare pool's own VMs of the zone need its budget too; a swap must not keep one of them running.
    left = Counter(vm.pool for vm in _usable_in(state, zone=zone))[spare]
    for permit in state.tables.permits.values():
        vm = state.tables.vms[permit.vm]
        is_own = (permit.holder, permit.purpose) == (holder, PermitPurpose.WITHDRAWAL)
        if not is_own or (vm.pool, vm.state) != (pool, VmState.DRAINED) or is_away(vm):
            continue
        moved = replace(vm, pool=spare)
        if not left and not find_exhausted_budget(state, vm=moved, purpose=PermitPurpose.WITHDRAWAL):
            reason = f"{holder}; a spare VM took its place"
            return [MoveVm(vm=vm.name, target=spare, expected_epoch=vm.epoch, reason=reason)]
    return []


def _usable_in(state: ControlState, *, zone: Zone) -> list[Vm]:
    usable = (VmState.READY, VmState.QUARANTINED)
    return [vm for vm in state.tables.vms.values() if vm.zone == zone.name and vm.state in usable]


def _spare_pool(state: ControlState) -> str:
    document = state.document()
    return next((pool.name for pool in document.pools if pool.spare), "") if document else ""


def _bring_capacity(state: ControlState, *, zone: Zone) -> list[TakePermit]:
    """Moves one spare VM at a time to the pool that misses most."""
    missing = count_missing(state, zone=zone)
    if not missing:
        return []
    pool = max(missing, key=lambda name: (missing[name], name))
    for vm in list_spares(state, outside=zone.name)[:MAX_TRIES]:
        if not find_exhausted_budget(state, vm=vm, purpose=PermitPurpose.MOVE):
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
    """Sends one moved VM back to its pool; those of the zone first, since their pools lack them."""
    document, vms, holder = state.document(), state.tables.vms.values(), holder_of(zone)
    moved = [vm for vm in vms if vm.moved_for == holder and vm.moved_from and vm.state is VmState.READY]
    moved = [vm for vm in moved if document and document.pool(name=vm.moved_from)]
    moved.sort(key=lambda vm: vm.zone != zone.name)
    for vm in moved[:MAX_TRIES]:
        if not find_exhausted_budget(state, vm=vm, purpose=PermitPurpose.MOVE):
            return [_permit(zone, vm=vm, purpose=PermitPurpose.MOVE, target=vm.moved_from)]
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


__all__ = ["RETURN_STEP_MS", "count_missing", "decide_zones", "list_spares"]
