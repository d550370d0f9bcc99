"""Decides which spare VMs are lent to pools in need and which go back."""

from __future__ import annotations

from collections import Counter
from itertools import islice
from typing import TYPE_CHECKING

from hyssopway.control.apply.budgets import find_broken_budget, find_exhausted_budget
from hyssopway.control.apply.waves import is_active
from hyssopway.control.command import TakePermit
from hyssopway.control.record import PermitPurpose, VmState, ZoneStatus

from .holders import LENDING as HOLDER
from .holders import is_away

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hyssopway.control import ControlState
    from hyssopway.control.record import Vm
    from hyssopway.document import EnvironmentDocument

    from .demand import Demand

# A move stops a VM for about its drain; it pays only for a whole VM of waiting work.
LEND_AT_VMS = 1.0
# Far below LEND_AT_VMS, so that demand around one value does not move VMs to and fro.
TAKE_BACK_AT_VMS = 0.1

# Each look at a budget reads all VMs; all spare VMs of a fleet of 21,000 took 2.6 s.
MAX_TRIES = 8


def decide_lending(state: ControlState, *, demand: Demand) -> list[TakePermit]:
    """Returns at most one move; none while a wave, a zone change or a failure needs the spare VMs."""
    document = state.document()
    spare = next((pool.name for pool in document.pools if pool.spare), None) if document else None
    if document is None or spare is None or _is_reserved(state):
        return []
    needs = {name: _need_vms(state, demand=demand, pool=name) for name in sorted(demand.cores)}
    needs = {name: need for name, need in needs.items() if name != spare and document.pool(name=name)}
    lend = _lend(state, document=document, spare=spare, needs=needs)
    return [lend] if lend else _take_back(state, spare=spare, needs=needs)


def required_spare(state: ControlState, *, document: EnvironmentDocument, spare: str) -> int:
    """Returns the VMs that the largest loss named by the buffer policy takes from one pool."""
    # A lent VM is not part of the loss that the rest of the spare pool is kept for.
    vms = [vm for vm in state.tables.vms.values() if vm.pool != spare and vm.moved_for != HOLDER]
    by_zone = Counter((vm.pool, vm.zone) for vm in vms)
    by_rack = Counter((vm.pool, vm.zone, vm.rack) for vm in vms)
    policy = document.buffer
    return max(
        max(by_zone.values(), default=0) if policy.survive_zone else 0,
        max(by_rack.values(), default=0) if policy.survive_rack else 0,
    )


def _is_reserved(state: ControlState) -> bool:
    tables = state.tables
    return (
        any(is_active(wave) for wave in tables.waves.values())
        or any(zone.status is not ZoneStatus.OPEN for zone in tables.zones.values())
        or any(permit.holder == HOLDER for permit in tables.permits.values())
        or bool(find_broken_budget(state))
    )


def _need_vms(state: ControlState, *, demand: Demand, pool: str) -> float:
    cores = [vm.capacity.cores for vm in state.tables.vms.values() if vm.pool == pool]
    return demand.cores[pool] / max(1.0, sum(cores) / len(cores)) if cores else 0.0


def _lend(
    state: ControlState, *, document: EnvironmentDocument, spare: str, needs: dict[str, float]
) -> TakePermit | None:
    pool = max(needs, key=lambda name: (needs[name], name), default=None)
    if pool is None or needs[pool] < LEND_AT_VMS:
        return None
    vms = state.tables.vms.values()
    ready = [vm for vm in vms if vm.pool == spare and vm.state is VmState.READY and not is_away(vm)]
    kept = 0 if document.buffer.lend else required_spare(state, document=document, spare=spare)
    if len(ready) <= kept:
        return None
    in_zone = Counter(vm.zone for vm in state.tables.vms.values() if vm.pool == pool)
    running = state.indexes.running
    # The zone with the fewest VMs of the pool first keeps its failure domains in balance.
    ready.sort(key=lambda vm: (in_zone[vm.zone], len(running.get(vm.name, ())), vm.name))
    return next(_fitting(state, vms=ready, target=pool), None)


def _take_back(state: ControlState, *, spare: str, needs: dict[str, float]) -> list[TakePermit]:
    lent = [
        vm
        for vm in state.tables.vms.values()
        if vm.moved_for == HOLDER
        and vm.pool != spare
        and vm.state is VmState.READY
        and needs.get(vm.pool, 0.0) < TAKE_BACK_AT_VMS
    ]
    running = state.indexes.running
    lent.sort(key=lambda vm: (len(running.get(vm.name, ())), vm.name))
    return list(islice(_fitting(state, vms=lent, target=spare), 1))


def _fitting(state: ControlState, *, vms: list[Vm], target: str) -> Iterator[TakePermit]:
    return (
        TakePermit(
            vm=vm.name,
            purpose=PermitPurpose.MOVE,
            holder=HOLDER,
            expected_epoch=vm.epoch,
            target=target,
        )
        for vm in vms[:MAX_TRIES]
        if not find_exhausted_budget(state, vm=vm, purpose=PermitPurpose.MOVE)
    )


__all__ = ["HOLDER", "LEND_AT_VMS", "TAKE_BACK_AT_VMS", "decide_lending", "required_spare"]
