"""Decides the next steps of maintenance waves."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from hyssopway.control.apply.waves import LOST_STATUSES, UNFINISHED_STATUSES, count_lost, is_active
from hyssopway.control.command import AdvanceWave, ControlWave, WaveAction
from hyssopway.control.record import VmState, WaveStatus, WaveVmStatus
from hyssopway.document import MaintenancePolicy

from .wave_order import choose_next

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from hyssopway.control import ControlState
    from hyssopway.control.record import Vm, Wave

    WaveStep = AdvanceWave | ControlWave

# In a large fleet, losses in one rack indicate a common cause long before `max_lost` is reached.
MAX_LOST_PER_RACK = 1


def decide_waves(
    state: ControlState, *, now_ms: int, returned: Collection[tuple[str, str]]
) -> list[WaveStep]:
    """Returns the next steps of all waves.

    Args:
        state: Replicated state.
        now_ms: Cluster time in milliseconds.
        returned: Pairs of wave and VM that the platform reports as rebooted and returned.
    """
    steps: list[WaveStep] = []
    for wave in state.tables.waves.values():
        if is_active(wave):
            steps += _decide_wave(state, wave=wave, now_ms=now_ms, returned=returned)
        steps += _replace_lost(state, wave=wave)
    return steps


def _decide_wave(
    state: ControlState, *, wave: Wave, now_ms: int, returned: Collection[tuple[str, str]]
) -> Iterator[WaveStep]:
    policy = _maintenance_policy(state)
    for name, progress in wave.vms.items():
        vm = state.tables.vms[name]
        timed_out = now_ms - progress.changed_ms > policy.return_s * 1000
        has_returned = (wave.wave_id, name) in returned and vm.boot_id != progress.boot_id
        match progress.status:
            case WaveVmStatus.DRAINING if wave.status is WaveStatus.ABORTED and vm.state is not VmState.DOWN:
                yield _advance(wave, vm=vm, status=WaveVmStatus.SKIPPED, reason=wave.reason)
            case WaveVmStatus.DRAINING if vm.state is VmState.DRAINED:
                yield _advance(wave, vm=vm, status=WaveVmStatus.REBOOTING, reason="empty")
            case WaveVmStatus.DRAINING if vm.state is VmState.DOWN and timed_out:
                yield _advance(wave, vm=vm, status=WaveVmStatus.LOST, reason="failed during its drain")
            case WaveVmStatus.REBOOTING if has_returned:
                yield _advance(wave, vm=vm, status=WaveVmStatus.DONE, reason="its worker syncs again")
            case WaveVmStatus.REBOOTING if timed_out:
                yield _advance(wave, vm=vm, status=WaveVmStatus.LOST, reason="did not return in time")
    if wave.status is not WaveStatus.RUNNING:
        return
    problem = find_pause_reason(state, wave=wave)
    if problem:
        yield _pause(wave, reason=problem)
        return
    for vm in choose_next(state, wave=wave, now_ms=now_ms):
        yield _advance(wave, vm=vm, status=WaveVmStatus.DRAINING, reason="chosen")
    yield from _skip_blocking_vms(state, wave=wave)


def find_pause_reason(state: ControlState, *, wave: Wave) -> str:
    """Returns why a wave must be paused; empty when it may continue."""
    policy = _maintenance_policy(state)
    lost = count_lost(state, wave=wave)
    if lost - wave.lost_accepted >= policy.max_lost:
        return f"{lost} VMs lost; max_lost is {policy.max_lost}"
    if lost > wave.lost_accepted and wave.count(WaveVmStatus.DONE) < policy.canaries:
        return "a canary was lost"
    failed = _find_failed_canary(state, wave=wave, canaries=policy.canaries)
    if failed and lost > wave.lost_accepted:
        return f"canary {failed} fails after its reboot"
    racks = Counter(
        (state.tables.vms[name].zone, state.tables.vms[name].rack) for name in wave.select(*LOST_STATUSES)
    )
    for (zone, rack), count in racks.items():
        if count > MAX_LOST_PER_RACK and lost > wave.lost_accepted:
            return f"{count} VMs lost in rack {rack} of zone {zone}"
    return ""


def _find_failed_canary(state: ControlState, *, wave: Wave, canaries: int) -> str:
    """Returns a canary that returned but is now down or quarantined, even if the platform reports it healthy."""
    done = sorted(wave.select(WaveVmStatus.DONE), key=lambda name: wave.vms[name].changed_ms)
    vms = [state.tables.vms[name] for name in done[:canaries]]
    return next((vm.name for vm in vms if vm.state in (VmState.DOWN, VmState.QUARANTINED)), "")


def _skip_blocking_vms(state: ControlState, *, wave: Wave) -> Iterator[AdvanceWave]:
    """Skips VMs that would block the wave forever: those without a pool budget, and the last ones if down."""
    document = state.document()
    pools = {pool.name for pool in document.pools} if document else set()
    for name in wave.select(WaveVmStatus.WAITING):
        vm = state.tables.vms[name]
        if vm.pool not in pools:
            reason = f"pool {vm.pool} is not in the document"
            yield _advance(wave, vm=vm, status=WaveVmStatus.SKIPPED, reason=reason)
    remaining = [state.tables.vms[name] for name in wave.select(*UNFINISHED_STATUSES)]
    if all(vm.state is VmState.DOWN for vm in remaining):
        for vm in remaining:
            if wave.vms[vm.name].status is WaveVmStatus.WAITING:
                yield _advance(wave, vm=vm, status=WaveVmStatus.SKIPPED, reason="down")


def _replace_lost(state: ControlState, *, wave: Wave) -> Iterator[AdvanceWave]:
    document = state.document()
    spare = next((pool.name for pool in document.pools if pool.spare), None) if document else None
    for name in wave.select(WaveVmStatus.LOST):
        lost = state.tables.vms[name]
        if lost.state is not VmState.DOWN or lost.pool == spare:
            continue
        found = _choose_spare(state, lost=lost, pool=spare)
        if found is not None:
            yield AdvanceWave(
                wave=wave.wave_id,
                vm=name,
                status=WaveVmStatus.REPLACED,
                expected_epoch=lost.epoch,
                reason=f"replaced by {found.name}",
                replacement=found.name,
            )
            return  # one permit at a time, so that the next round sees its effect


def _choose_spare(state: ControlState, *, lost: Vm, pool: str | None) -> Vm | None:
    ready = [vm for vm in state.tables.vms.values() if vm.pool == pool and vm.state is VmState.READY]
    running = state.indexes.running
    return min(
        ready, key=lambda vm: (vm.zone != lost.zone, len(running.get(vm.name, ())), vm.name), default=None
    )


def _advance(wave: Wave, *, vm: Vm, status: WaveVmStatus, reason: str) -> AdvanceWave:
    return AdvanceWave(wave=wave.wave_id, vm=vm.name, status=status, expected_epoch=vm.epoch, reason=reason)


def _pause(wave: Wave, *, reason: str) -> ControlWave:
    return ControlWave(
        request_id=f"{wave.wave_id}-{wave.epoch}-pause",
        operator="leader",
        wave=wave.wave_id,
        action=WaveAction.PAUSE,
        expected_epoch=wave.epoch,
        reason=reason,
    )


def _maintenance_policy(state: ControlState) -> MaintenancePolicy:
    document = state.document()
    return document.maintenance if document else MaintenancePolicy()


__all__ = ["decide_waves", "find_pause_reason"]
