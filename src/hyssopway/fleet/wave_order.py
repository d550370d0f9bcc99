"""Chooses the VMs that a wave stops next."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.control.apply.budgets import find_broken_budget, find_exhausted_budget
from hyssopway.control.record import PermitPurpose, VmState, WaveVmStatus, ZoneStatus
from hyssopway.document import MaintenancePolicy

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hyssopway.control import ControlState
    from hyssopway.control.record import Vm, Wave

IN_PROGRESS = (WaveVmStatus.DRAINING, WaveVmStatus.REBOOTING)
VISITED = (WaveVmStatus.DONE, WaveVmStatus.LOST, WaveVmStatus.REPLACED, WaveVmStatus.SKIPPED)

# Each look at a budget reads all VMs; a pool whose first VMs do not fit is tried again next round.
MAX_TRIES_PER_POOL = 8


def choose_next(state: ControlState, *, wave: Wave, now_ms: int) -> list[Vm]:
    """Returns at most one VM for each pool, since one permit changes what the next may take."""
    if find_broken_budget(state):
        return []
    document = state.document()
    policy = document.maintenance if document else MaintenancePolicy()
    in_progress = [state.tables.vms[name] for name in wave.select(*IN_PROGRESS)]
    waiting = _list_waiting(state, wave=wave)
    if wave.count(WaveVmStatus.DONE) < policy.canaries:
        return [] if in_progress else _choose_canary(state, waiting=waiting, now_ms=now_ms)
    zone = _choose_zone(state, waiting=waiting, in_progress=in_progress)
    late = _is_late(wave, policy=policy, now_ms=now_ms)
    busy = set() if late else {job.spec.pool for job in state.indexes.pending.values()}
    candidates = [vm for vm in waiting if vm.zone == zone and vm.pool not in busy]
    candidates.sort(key=lambda vm: (_work_left_ms(state, vm=vm, now_ms=now_ms), vm.rack, vm.name))
    return list(_first_fitting(state, candidates=candidates))


def forecast_end_ms(wave: Wave, *, now_ms: int) -> int | None:
    """Returns the expected end at the pace so far; None before the first VM is done."""
    visited = wave.count(*VISITED)
    left = len(wave.vms) - visited
    if not left:
        return now_ms
    if not wave.count(WaveVmStatus.DONE):
        return None
    return now_ms + round((now_ms - wave.started_ms) / visited * left)


def find_deadline_ms(state: ControlState, *, wave: Wave) -> int:
    """Returns the time at which a wave is to have visited every VM, by the document in force."""
    document = state.document()
    policy = document.maintenance if document else MaintenancePolicy()
    return wave.started_ms + round(policy.period_s * 1000)


def forecast_overrun_ms(state: ControlState, *, wave: Wave, now_ms: int) -> int:
    """Returns by how much a wave will miss its deadline at the pace so far; 0 when it will not."""
    end_ms = forecast_end_ms(wave, now_ms=now_ms)
    return max(0, (now_ms if end_ms is None else end_ms) - find_deadline_ms(state, wave=wave))


def _list_waiting(state: ControlState, *, wave: Wave) -> list[Vm]:
    tables = state.tables
    vms = [tables.vms[name] for name in wave.select(WaveVmStatus.WAITING)]
    return [
        vm
        for vm in vms
        if vm.state in (VmState.READY, VmState.QUARANTINED)
        and tables.zones[vm.zone].status is not ZoneStatus.WITHDRAWN
    ]


def _choose_canary(state: ControlState, *, waiting: list[Vm], now_ms: int) -> list[Vm]:
    ordered = sorted(waiting, key=lambda vm: (_work_left_ms(state, vm=vm, now_ms=now_ms), vm.name))
    return next(([vm] for vm in _first_fitting(state, candidates=ordered)), [])


def _choose_zone(state: ControlState, *, waiting: list[Vm], in_progress: list[Vm]) -> str:
    """Stays in one zone until it is finished, so that a bad change meets one zone at a time."""
    zones = {vm.zone for vm in in_progress} or {vm.zone for vm in waiting}
    return next((zone for zone in state.tables.zones if zone in zones), "")


def _is_late(wave: Wave, *, policy: MaintenancePolicy, now_ms: int) -> bool:
    visited = wave.count(*VISITED) / max(1, len(wave.vms))
    return (now_ms - wave.started_ms) / (policy.period_s * 1000) > visited


def _work_left_ms(state: ControlState, *, vm: Vm, now_ms: int) -> float:
    """Returns the declared time until the VM's last task ends; 0 for an idle VM."""
    jobs = [state.tables.jobs[job_id] for job_id in state.indexes.running.get(vm.name, ())]
    ends = [job.run.started_ms + job.spec.run_s * 1000 - now_ms for job in jobs if job.run]
    return max(1.0, *ends) if ends else 0.0


def _first_fitting(state: ControlState, *, candidates: list[Vm]) -> Iterator[Vm]:
    tries: dict[str, int] = {}
    for vm in candidates:
        if tries.get(vm.pool, 0) >= MAX_TRIES_PER_POOL:
            continue
        tries[vm.pool] = tries.get(vm.pool, 0) + 1
        if not find_exhausted_budget(state, vm=vm, purpose=PermitPurpose.MAINTENANCE):
            tries[vm.pool] = MAX_TRIES_PER_POOL
            yield vm


__all__ = ["IN_PROGRESS", "choose_next", "find_deadline_ms", "forecast_end_ms", "forecast_overrun_ms"]
