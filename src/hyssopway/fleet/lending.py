"""Decides which spare VMs are lent to pools with unmet demand and which are recalled."""

from __future__ import annotations

from collections import Counter
from itertools import islice
from typing import TYPE_CHECKING

from hyssopway.control.apply.budgets import find_broken_budget, find_exhausted_budget
from hyssopway.control.apply.waves import is_active
from hyssopway.control.command import TakePermit
from hyssopway.control.record import PermitPurpose, VmState, ZoneStatus

from .holders import LENDING as HOLDER
from .holders import is_temporarily_moved

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hyssopway.control import ControlState
    from hyssopway.control.record import Vm
    from hyssopway.document import EnvironmentDocument

    from .demand import Demand

# A move takes a VM out of service for about the time of its drain, so it needs demand for a whole VM.
LEND_THRESHOLD_VMS = 1.0
# Far below LEND_THRESHOLD_VMS, so that fluctuating demand does not move VMs back and forth.
RECALL_THRESHOLD_VMS = 0.1

# Each budget check reads all VMs; checking all spare VMs of a fleet of 21,000 VMs took 2.6 s.
MAX_BUDGET_CHECKS = 8


def decide_lending(state: ControlState, *, demand: Demand) -> list[TakePermit]:
    """Returns at most one move; none while a wave, a zone change or failures need the spare VMs."""
    document = state.document()
    spare = next((pool.name for pool in document.pools if pool.spare), None) if document else None
    if document is None or spare is None or _is_lending_suspended(state):
        return []
    needs = {name: _demand_in_vms(state, demand=demand, pool=name) for name in sorted(demand.cores)}
    needs = {name: need for name, need in needs.items() if name != spare and document.pool(name=name)}
    lend = _lend(state, document=document, spare=spare, needs=needs)
    return [lend] if lend else _recall(state, spare=spare, needs=needs)


def required_spare_vms(state: ControlState, *, document: EnvironmentDocument, spare: str) -> int:
    """Returns how many VMs one pool loses in the largest failure that the buffer policy covers."""
    # The spare pool does not have to cover the loss of VMs that it has lent itself.
    vms = [vm for vm in state.tables.vms.values() if vm.pool != spare and vm.moved_for != HOLDER]
    by_zone = Counter((vm.pool, vm.zone) for vm in vms)
    by_rack = Counter((vm.pool, vm.zone, vm.rack) for vm in vms)
    policy = document.buffer
    return max(
        max(by_zone.values(), default=0) if policy.survive_zone else 0,
        max(by_rack.values(), default=0) if policy.survive_rack else 0,
    )


def _is_lending_suspended(state: ControlState) -> bool:
    tables = state.tables
    return (
        any(is_active(wave) for wave in tables.waves.values())
        or any(zone.status is not ZoneStatus.OPEN for zone in tables.zones.values())
        or any(permit.holder == HOLDER for permit in tables.permits.values())
        or bool(find_broken_budget(state))
    )


def _demand_in_vms(state: ControlState, *, demand: Demand, pool: str) -> float:
    cores = [vm.capacity.cores for vm in state.tables.vms.values() if vm.pool == pool]
    return demand.cores[pool] / max(1.0, sum(cores) / len(cores)) if cores else 0.0


def _lend(
    state: ControlState, *, document: EnvironmentDocument, spare: str, needs: dict[str, float]
) -> TakePermit | None:
    pool = max(needs, key=lambda name: (needs[name], name), default=None)
    if pool is None or needs[pool] < LEND_THRESHOLD_VMS:
        return None
    vms = state.tables.vms.values()
    ready = [
        vm for vm in vms if vm.pool == spare and vm.state is VmState.READY and not is_temporarily_moved(vm)
    ]
    kept = 0 if document.buffer.lend else required_spare_vms(state, document=document, spare=spare)
    if len(ready) <= kept:
        return None
    in_zone = Counter(vm.zone for vm in state.tables.vms.values() if vm.pool == pool)
    running = state.indexes.running
    # Taking VMs from the zone with the fewest VMs of the pool first keeps its failure domains balanced.
    ready.sort(key=lambda vm: (in_zone[vm.zone], len(running.get(vm.name, ())), vm.name))
    return next(_list_allowed_moves(state, vms=ready, target=pool), None)


def _recall(state: ControlState, *, spare: str, needs: dict[str, float]) -> list[TakePermit]:
    lent = [
        vm
        for vm in state.tables.vms.values()
        if vm.moved_for == HOLDER
        and vm.pool != spare
        and vm.state is VmState.READY
        and needs.get(vm.pool, 0.0) < RECALL_THRESHOLD_VMS
    ]
    running = state.indexes.running
    lent.sort(key=lambda vm: (len(running.get(vm.name, ())), vm.name))
    return list(islice(_list_allowed_moves(state, vms=lent, target=spare), 1))


def _list_allowed_moves(state: ControlState, *, vms: list[Vm], target: str) -> Iterator[TakePermit]:
    return (
        TakePermit(
            vm=vm.name,
            purpose=PermitPurpose.MOVE,
            holder=HOLDER,
            expected_epoch=vm.epoch,
            target=target,
        )
        for vm in vms[:MAX_BUDGET_CHECKS]
        if not find_exhausted_budget(state, vm=vm, purpose=PermitPurpose.MOVE)
    )


__all__ = ["HOLDER", "LEND_THRESHOLD_VMS", "RECALL_THRESHOLD_VMS", "decide_lending", "required_spare_vms"]
