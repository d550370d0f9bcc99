"""Selects the VMs that a wave drains next and forecasts its end."""

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

# Each budget check reads all VMs; a pool whose first VMs exceed the budget is retried in the next round.
MAX_BUDGET_CHECKS_PER_POOL = 8


def choose_next(state: ControlState, *, wave: Wave, now_ms: int) -> list[Vm]:
    """Returns at most one VM for each pool, since each permit changes what the budget still allows."""
    if find_broken_budget(state):
        return []
    document = state.document()
    policy = document.maintenance if document else MaintenancePolicy()
    in_progress = [state.tables.vms[name] for name in wave.select(*IN_PROGRESS)]
    waiting = _list_waiting(state, wave=wave)
    if wave.count(WaveVmStatus.DONE) < policy.canaries:
        return [] if in_progress else _choose_canary(state, waiting=waiting, now_ms=now_ms)
    zone = _choose_zone(state, waiting=waiting, in_progress=in_progress)
    behind_schedule = _is_behind_schedule(wave, policy=policy, now_ms=now_ms)
    pools_with_pending_jobs = (
        set() if behind_schedule else {job.spec.pool for job in state.indexes.pending.values()}
    )
    candidates = [vm for vm in waiting if vm.zone == zone and vm.pool not in pools_with_pending_jobs]
    candidates.sort(key=lambda vm: (_remaining_work_ms(state, vm=vm, now_ms=now_ms), vm.rack, vm.name))
    return list(_filter_by_budget(state, candidates=candidates))


def forecast_end_ms(wave: Wave, *, now_ms: int) -> int | None:
    """Extrapolates the end from the pace so far, in milliseconds; None before the first VM is done."""
    visited = wave.count(*VISITED)
    left = len(wave.vms) - visited
    if not left:
        return now_ms
    if not wave.count(WaveVmStatus.DONE):
        return None
    return now_ms + round((now_ms - wave.started_ms) / visited * left)


def find_deadline_ms(state: ControlState, *, wave: Wave) -> int:
    """Returns the time by which a wave has to be finished according to the active document."""
    document = state.document()
    policy = document.maintenance if document else MaintenancePolicy()
    return wave.started_ms + round(policy.period_s * 1000)


def forecast_overrun_ms(state: ControlState, *, wave: Wave, now_ms: int) -> int:
    """Returns by how many milliseconds a wave will miss its deadline at the pace so far; 0 if it will not."""
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
    ordered = sorted(waiting, key=lambda vm: (_remaining_work_ms(state, vm=vm, now_ms=now_ms), vm.name))
    return next(([vm] for vm in _filter_by_budget(state, candidates=ordered)), [])


def _choose_zone(state: ControlState, *, waiting: list[Vm], in_progress: list[Vm]) -> str:
    """Returns the zone in progress until it is finished, so that a bad change affects one zone at a time."""
    zones = {vm.zone for vm in in_progress} or {vm.zone for vm in waiting}
    return next((zone for zone in state.tables.zones if zone in zones), "")


def _is_behind_schedule(wave: Wave, *, policy: MaintenancePolicy, now_ms: int) -> bool:
    visited = wave.count(*VISITED) / max(1, len(wave.vms))
    return (now_ms - wave.started_ms) / (policy.period_s * 1000) > visited


def _remaining_work_ms(state: ControlState, *, vm: Vm, now_ms: int) -> float:
    """Returns the declared time in milliseconds until the VM's last task ends; 0 for an idle VM."""
    jobs = [state.tables.jobs[job_id] for job_id in state.indexes.running.get(vm.name, ())]
    ends = [job.run.started_ms + job.spec.run_s * 1000 - now_ms for job in jobs if job.run]
    return max(1.0, *ends) if ends else 0.0


def _filter_by_budget(state: ControlState, *, candidates: list[Vm]) -> Iterator[Vm]:
    checks: dict[str, int] = {}
    for vm in candidates:
        if checks.get(vm.pool, 0) >= MAX_BUDGET_CHECKS_PER_POOL:
            continue
        checks[vm.pool] = checks.get(vm.pool, 0) + 1
        if not find_exhausted_budget(state, vm=vm, purpose=PermitPurpose.MAINTENANCE):
            checks[vm.pool] = MAX_BUDGET_CHECKS_PER_POOL
            yield vm


__all__ = ["IN_PROGRESS", "choose_next", "find_deadline_ms", "forecast_end_ms", "forecast_overrun_ms"]
