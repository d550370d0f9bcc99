"""Applies commands that start, control and advance maintenance waves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Ok, Result

from hyssopway.control.change import Change
from hyssopway.control.command import ChangeVm, ReturnPermit, TakePermit, WaveAction
from hyssopway.control.record import PermitPurpose, VmState, Wave, WaveStatus, WaveVm, WaveVmStatus
from hyssopway.result import ResultCode

from .permits import return_permit, take_permit
from .refusal import refuse
from .vms import change_vm

if TYPE_CHECKING:
    from hyssopway.control.command import AdvanceWave, ControlWave, StartWave
    from hyssopway.control.record import Vm
    from hyssopway.control.state import ControlState
    from hyssopway.result import Failure

# Each wave holds a record per VM. 20 waves cover seven weeks of a fleet that is maintained in parts.
MAX_WAVES = 20

VM_TRANSITIONS = {
    WaveVmStatus.WAITING: {WaveVmStatus.DRAINING, WaveVmStatus.SKIPPED},
    WaveVmStatus.DRAINING: {WaveVmStatus.REBOOTING, WaveVmStatus.LOST, WaveVmStatus.SKIPPED},
    WaveVmStatus.REBOOTING: {WaveVmStatus.DONE, WaveVmStatus.LOST},
    WaveVmStatus.LOST: {WaveVmStatus.REPLACED},
}
UNFINISHED_STATUSES = (WaveVmStatus.WAITING, WaveVmStatus.DRAINING, WaveVmStatus.REBOOTING)
LOST_STATUSES = (WaveVmStatus.LOST, WaveVmStatus.REPLACED)
WAVE_TRANSITIONS = {
    (WaveStatus.RUNNING, WaveAction.PAUSE): WaveStatus.PAUSED,
    (WaveStatus.PAUSED, WaveAction.RESUME): WaveStatus.RUNNING,
    (WaveStatus.RUNNING, WaveAction.ABORT): WaveStatus.ABORTED,
    (WaveStatus.PAUSED, WaveAction.ABORT): WaveStatus.ABORTED,
}


def start_wave(state: ControlState, command: StartWave) -> Result[Change, Failure]:
    """Starts a wave unless another one is active."""
    for wave in state.tables.waves.values():
        if is_active(wave):
            return refuse(ResultCode.WAVE_CONFLICT, f"{wave.wave_id} is {wave.status} and not finished")
    document = state.document()
    for pool in command.pools:
        if document is None or document.pool(name=pool) is None:
            return refuse(ResultCode.UNKNOWN_POOL, f"pool {pool!r} is not in the production document")
    wave = Wave(
        wave_id=f"wave-{state.applied_index}", operator=command.operator, started_ms=state.tables.now_ms
    )
    for vm in state.tables.vms.values():
        if not command.pools or vm.pool in command.pools:
            wave.vms[vm.name] = WaveVm(changed_ms=state.tables.now_ms)
    state.tables.waves[wave.wave_id] = wave
    while len(state.tables.waves) > MAX_WAVES:
        del state.tables.waves[next(iter(state.tables.waves))]
    return Ok(Change(generation=wave.epoch, reference=wave.wave_id))


def control_wave(state: ControlState, command: ControlWave) -> Result[Change, Failure]:
    """Pauses, resumes or aborts a wave."""
    wave = state.tables.waves.get(command.wave)
    if wave is None:
        return refuse(ResultCode.UNKNOWN_WAVE, f"wave {command.wave!r} does not exist")
    if wave.epoch != command.expected_epoch:
        message = f"{wave.wave_id} is {wave.status} at epoch {wave.epoch}: {wave.reason}"
        return refuse(ResultCode.GENERATION_CONFLICT, message)
    status = WAVE_TRANSITIONS.get((wave.status, command.action))
    if status is None:
        return refuse(ResultCode.WAVE_CONFLICT, f"{wave.wave_id} is {wave.status}; cannot {command.action}")
    if command.action is WaveAction.RESUME:
        wave.lost_accepted = count_lost(state, wave=wave)
    if command.action is WaveAction.ABORT:
        for name in wave.select(WaveVmStatus.WAITING):
            wave.vms[name].status = WaveVmStatus.SKIPPED
    _set_wave_status(wave, status=status, reason=command.reason or f"{command.action} by {command.operator}")
    return Ok(Change(generation=wave.epoch, reference=wave.wave_id))


def advance_wave(state: ControlState, command: AdvanceWave) -> Result[Change, Failure]:
    """Moves one VM to its next step; changes its state, its permit and its progress in one command."""
    wave = state.tables.waves.get(command.wave)
    vm = state.tables.vms.get(command.vm)
    if wave is None:
        return refuse(ResultCode.UNKNOWN_WAVE, f"wave {command.wave!r} does not exist")
    if vm is None or command.vm not in wave.vms:
        return refuse(ResultCode.UNKNOWN_VM, f"VM {command.vm!r} is not in {wave.wave_id}")
    progress = wave.vms[command.vm]
    if command.status not in VM_TRANSITIONS.get(progress.status, ()):
        message = f"VM {vm.name} is {progress.status} in {wave.wave_id}, next cannot be {command.status}"
        return refuse(ResultCode.WAVE_CONFLICT, message)
    if vm.epoch != command.expected_epoch:
        return refuse(ResultCode.STALE_EPOCH, f"VM {vm.name} is {vm.state} at epoch {vm.epoch}")
    result = _apply_step(state, wave=wave, vm=vm, command=command)
    if result.is_error():
        return result
    progress.status = command.status
    progress.changed_ms = state.tables.now_ms
    progress.reason = command.reason
    if wave.status is WaveStatus.RUNNING and not wave.count(*UNFINISHED_STATUSES):
        _set_wave_status(wave, status=WaveStatus.DONE, reason="every VM was visited")
    return Ok(Change(generation=vm.epoch, reference=vm.name))


def is_active(wave: Wave) -> bool:
    """Returns whether a wave may still stop VMs or has stopped VMs that it has to finish."""
    return wave.status in (WaveStatus.RUNNING, WaveStatus.PAUSED) or bool(wave.count(*UNFINISHED_STATUSES))


def count_lost(state: ControlState, *, wave: Wave) -> int:
    """Counts VMs that did not return, or that returned and are now down or quarantined."""
    failed = (VmState.DOWN, VmState.QUARANTINED)
    done = wave.select(WaveVmStatus.DONE)
    return wave.count(*LOST_STATUSES) + sum(state.tables.vms[name].state in failed for name in done)


def _set_wave_status(wave: Wave, *, status: WaveStatus, reason: str) -> None:
    wave.status = status
    wave.reason = reason
    wave.epoch += 1


def _apply_step(state: ControlState, *, wave: Wave, vm: Vm, command: AdvanceWave) -> Result[Change, Failure]:
    match command.status:
        case WaveVmStatus.DRAINING:
            return _start_drain(state, wave=wave, vm=vm)
        case WaveVmStatus.REBOOTING:
            wave.vms[vm.name].boot_id = vm.boot_id
            return _change_state(state, vm=vm, target=VmState.REBOOTING, reason=wave.wave_id)
        case WaveVmStatus.DONE:
            return _finish_maintenance(state, wave=wave, vm=vm)
        case WaveVmStatus.LOST:
            if vm.state is not VmState.DOWN:
                _change_state(state, vm=vm, target=VmState.DOWN, reason=command.reason)
            return _return_permit(state, wave=wave, vm=vm, reason=command.reason)
        case WaveVmStatus.REPLACED:
            return _move_replacement(state, wave=wave, vm=vm, replacement=command.replacement)
        case _:
            held = state.tables.permits.get(vm.name)
            if held is not None and held.holder == wave.wave_id:
                return _return_permit(state, wave=wave, vm=vm, reason=command.reason)
            return Ok(Change())


def _start_drain(state: ControlState, *, wave: Wave, vm: Vm) -> Result[Change, Failure]:
    if wave.status is not WaveStatus.RUNNING:
        return refuse(ResultCode.WAVE_CONFLICT, f"{wave.wave_id} is {wave.status}: {wave.reason}")
    return take_permit(
        state,
        TakePermit(
            vm=vm.name, purpose=PermitPurpose.MAINTENANCE, holder=wave.wave_id, expected_epoch=vm.epoch
        ),
    )


def _finish_maintenance(state: ControlState, *, wave: Wave, vm: Vm) -> Result[Change, Failure]:
    if vm.boot_id == wave.vms[vm.name].boot_id:
        message = f"no worker process has synced from VM {vm.name} since its reboot"
        return refuse(ResultCode.WAVE_CONFLICT, message)
    result = _change_state(state, vm=vm, target=VmState.DRAINED, reason="rebooted")
    if result.is_error():
        return result
    return _return_permit(state, wave=wave, vm=vm, reason=f"maintained by {wave.wave_id}")


def _move_replacement(
    state: ControlState, *, wave: Wave, vm: Vm, replacement: str
) -> Result[Change, Failure]:
    spare = state.tables.vms.get(replacement)
    if spare is None:
        return refuse(ResultCode.UNKNOWN_VM, f"VM {replacement!r} does not exist")
    holder = f"{wave.wave_id} replaces {vm.name}"
    result = take_permit(
        state,
        TakePermit(vm=spare.name, purpose=PermitPurpose.MOVE, holder=holder, expected_epoch=spare.epoch),
    )
    if result.is_ok():
        state.tables.permits[spare.name].target = vm.pool
    return result


def _change_state(state: ControlState, *, vm: Vm, target: VmState, reason: str) -> Result[Change, Failure]:
    return change_vm(state, ChangeVm(vm=vm.name, state=target, expected_epoch=vm.epoch, reason=reason))


def _return_permit(state: ControlState, *, wave: Wave, vm: Vm, reason: str) -> Result[Change, Failure]:
    return return_permit(state, ReturnPermit(vm=vm.name, holder=wave.wave_id, reason=reason))


def may_still_reboot(state: ControlState, *, vm: Vm) -> bool:
    """Returns whether the platform may still carry out a reboot that was requested for a lost VM.

    Such a reboot would interrupt work that is placed on the VM. A new worker process shows that the reboot
    has taken place.
    """
    return any(
        vm.name in wave.vms
        and wave.vms[vm.name].status in LOST_STATUSES
        and wave.vms[vm.name].boot_id == vm.boot_id
        for wave in state.tables.waves.values()
    )


__all__ = [
    "LOST_STATUSES",
    "UNFINISHED_STATUSES",
    "advance_wave",
    "control_wave",
    "count_lost",
    "is_active",
    "may_still_reboot",
    "start_wave",
]
