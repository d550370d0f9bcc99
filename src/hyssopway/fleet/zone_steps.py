"""Decides the next steps of emptying withdrawn zones and of returning zones to service."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from hyssopway.control.apply.budgets import find_broken_budget, find_exhausted_budget
from hyssopway.control.command import MoveVm, ReturnPermit, SetZone, TakePermit
from hyssopway.control.record import PermitPurpose, VmState, ZoneStatus

from .holders import is_temporarily_moved, withdrawal_holder

if TYPE_CHECKING:
    from hyssopway.control import ControlState
    from hyssopway.control.record import Vm, Zone

    ZoneStep = TakePermit | ReturnPermit | SetZone | MoveVm

# A home sees the load of its workers within one sync of 0.5 s; ten syncs let the load settle before the next VMs.
RETURN_STEP_MS = 5_000

# Each budget check reads all VMs.
MAX_BUDGET_CHECKS = 8


def decide_zones(state: ControlState, *, now_ms: int, last_return_ms: dict[str, int]) -> list[ZoneStep]:
    """Returns the next steps of all zones.

    Args:
        state: Replicated state.
        now_ms: Cluster time in milliseconds.
        last_return_ms: Cluster time of the last return step by zone; updated by this function. It is not
            replicated, so a new leader may take the next step sooner.
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
    """Returns the ready spare VMs in other open zones, idle ones first."""
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
        and not is_temporarily_moved(vm)
    ]
    return sorted(spares, key=lambda vm: (len(running.get(vm.name, ())), vm.name))


def count_missing(state: ControlState, *, zone: Zone) -> dict[str, int]:
    """Returns by pool how many VMs of the zone are not yet replaced by spare VMs."""
    document = state.document()
    missing = {pool.name: 0 for pool in document.pools if not pool.spare} if document else {}
    holder = withdrawal_holder(zone)
    for vm in state.tables.vms.values():
        if vm.zone == zone.name and vm.pool in missing:
            missing[vm.pool] += 1
        if vm.zone != zone.name and vm.moved_for == holder and vm.pool in missing:
            missing[vm.pool] -= 1
        if vm.zone == zone.name and vm.moved_for == holder and vm.moved_from in missing:
            # Its pool got a spare VM in exchange, which is subtracted above.
            missing[vm.moved_from] += 1
    for permit in state.tables.permits.values():
        if permit.holder == holder and permit.target in missing:
            missing[permit.target] -= 1
    return {pool: count for pool, count in missing.items() if count > 0}


def _empty_zone(state: ControlState, *, zone: Zone) -> list[ZoneStep]:
    if find_broken_budget(state):
        return []
    steps: list[ZoneStep] = [*_add_spare_capacity(state, zone=zone)]
    chosen: set[str] = set()
    for vm in sorted(_usable_in(state, zone=zone), key=lambda vm: _drain_priority(state, vm=vm)):
        if vm.pool in chosen:
            continue
        # A withdrawal is limited only by the budget of the pool as a whole, so a refusal applies to all its VMs.
        chosen.add(vm.pool)
        if not find_exhausted_budget(state, vm=vm, purpose=PermitPurpose.WITHDRAWAL):
            steps.append(_take_permit(zone, vm=vm, purpose=PermitPurpose.WITHDRAWAL))
        else:
            steps += _swap_for_spare(state, zone=zone, pool=vm.pool)
    return steps


def _swap_for_spare(state: ControlState, *, zone: Zone, pool: str) -> list[MoveVm]:
    """Moves a drained VM to the spare pool in exchange for a spare VM that its pool got.

    This frees the budget of its pool for the next VM to drain.
    """
    spare, holder = _spare_pool(state), withdrawal_holder(zone)
    vms = [vm for vm in state.tables.vms.values() if vm.moved_for == holder]
    borrowed = sum(vm.zone != zone.name and vm.pool == pool and vm.state is VmState.READY for vm in vms)
    swapped = sum(vm.zone == zone.name and vm.moved_from == pool for vm in vms)
    if not spare or pool == spare or swapped >= borrowed:
        return []
    # The spare pool's own VMs in the zone need its budget too; a swap must not prevent them from draining.
    left = Counter(vm.pool for vm in _usable_in(state, zone=zone))[spare]
    for permit in state.tables.permits.values():
        vm = state.tables.vms[permit.vm]
        is_own = (permit.holder, permit.purpose) == (holder, PermitPurpose.WITHDRAWAL)
        if not is_own or (vm.pool, vm.state) != (pool, VmState.DRAINED) or is_temporarily_moved(vm):
            continue
        moved = replace(vm, pool=spare)
        if not left and not find_exhausted_budget(state, vm=moved, purpose=PermitPurpose.WITHDRAWAL):
            reason = f"{holder}; a spare VM replaces it"
            return [MoveVm(vm=vm.name, target=spare, expected_epoch=vm.epoch, reason=reason)]
    return []


def _usable_in(state: ControlState, *, zone: Zone) -> list[Vm]:
    usable = (VmState.READY, VmState.QUARANTINED)
    return [vm for vm in state.tables.vms.values() if vm.zone == zone.name and vm.state in usable]


def _spare_pool(state: ControlState) -> str:
    document = state.document()
    return next((pool.name for pool in document.pools if pool.spare), "") if document else ""


def _add_spare_capacity(state: ControlState, *, zone: Zone) -> list[TakePermit]:
    """Moves one spare VM at a time to the pool that lacks the most VMs."""
    missing = count_missing(state, zone=zone)
    if not missing:
        return []
    pool = max(missing, key=lambda name: (missing[name], name))
    for vm in list_spares(state, outside=zone.name)[:MAX_BUDGET_CHECKS]:
        if not find_exhausted_budget(state, vm=vm, purpose=PermitPurpose.MOVE):
            return [_take_permit(zone, vm=vm, purpose=PermitPurpose.MOVE, target=pool)]
    return []


def _drain_priority(state: ControlState, *, vm: Vm) -> tuple[bool, float, str]:
    """Returns the sort key of VMs: those with urgent jobs first, then by the longest total run time so far."""
    jobs = [state.tables.jobs[job_id] for job_id in state.indexes.running.get(vm.name, ())]
    invested_ms = sum(state.tables.now_ms - job.run.started_ms for job in jobs if job.run)
    return not any(job.spec.urgent for job in jobs), -invested_ms, vm.name


def _return_zone(state: ControlState, *, zone: Zone) -> list[ZoneStep]:
    """Returns at most one VM of each pool to service, then opens the zone, then moves borrowed VMs back."""
    holder = withdrawal_holder(zone)
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
        return [_open_zone(zone)]
    return [*_return_moved_vm(state, zone=zone)]


def _return_moved_vm(state: ControlState, *, zone: Zone) -> list[TakePermit]:
    """Moves one VM back to its pool, VMs of this zone first because their pools lack them."""
    document, vms, holder = state.document(), state.tables.vms.values(), withdrawal_holder(zone)
    moved = [vm for vm in vms if vm.moved_for == holder and vm.moved_from and vm.state is VmState.READY]
    moved = [vm for vm in moved if document and document.pool(name=vm.moved_from)]
    moved.sort(key=lambda vm: vm.zone != zone.name)
    for vm in moved[:MAX_BUDGET_CHECKS]:
        if not find_exhausted_budget(state, vm=vm, purpose=PermitPurpose.MOVE):
            return [_take_permit(zone, vm=vm, purpose=PermitPurpose.MOVE, target=vm.moved_from)]
    return []


def _take_permit(zone: Zone, *, vm: Vm, purpose: PermitPurpose, target: str = "") -> TakePermit:
    return TakePermit(
        vm=vm.name, purpose=purpose, holder=withdrawal_holder(zone), expected_epoch=vm.epoch, target=target
    )


def _open_zone(zone: Zone) -> SetZone:
    return SetZone(
        request_id=f"{zone.name}-{zone.epoch}-open",
        operator="leader",
        zone=zone.name,
        status=ZoneStatus.OPEN,
        expected_epoch=zone.epoch,
    )


__all__ = ["RETURN_STEP_MS", "count_missing", "decide_zones", "list_spares"]
