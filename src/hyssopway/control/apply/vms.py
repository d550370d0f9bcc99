"""Applies commands that register, change and move VMs."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from expression import Ok, Result

from hyssopway.control.change import Change
from hyssopway.control.record import PermitPurpose, Vm, VmState
from hyssopway.result import ResultCode

from .permits import find_exhausted_budget, has_move_permit
from .refusal import refuse

if TYPE_CHECKING:
    from hyssopway.control.command import ChangeVm, MoveVm, RegisterVm
    from hyssopway.control.state import ControlState
    from hyssopway.result import Failure

# `docs/design.md` has the same table and says who may make each transition.
TRANSITIONS = {
    VmState.READY: {VmState.DOWN, VmState.QUARANTINED},
    VmState.QUARANTINED: {VmState.READY, VmState.DOWN},
    VmState.DRAINING: {VmState.DRAINED, VmState.DOWN},
    VmState.DRAINED: {VmState.REBOOTING, VmState.DOWN},
    VmState.REBOOTING: {VmState.DRAINED, VmState.DOWN},
    VmState.DOWN: {VmState.READY, VmState.DRAINED},
}


def register_vm(state: ControlState, command: RegisterVm) -> Result[Change, Failure]:
    """Stores a VM and its home; a known VM keeps its pool."""
    vm = state.tables.vms.get(command.vm)
    if vm is None:
        return _add_vm(state, command)
    if vm.home != command.home or vm.boot_id != command.boot_id:
        vm.home_epoch += 1
    vm.home = command.home
    vm.boot_id = command.boot_id
    vm.capacity = command.capacity
    return Ok(Change(generation=vm.home_epoch, reference=vm.name))


def change_vm(state: ControlState, command: ChangeVm) -> Result[Change, Failure]:
    """Changes the state of a VM if the table of transitions allows it."""
    vm = state.tables.vms.get(command.vm)
    if vm is None:
        return refuse(ResultCode.UNKNOWN_VM, f"VM {command.vm!r} does not exist")
    if vm.epoch != command.expected_epoch:
        message = f"VM {vm.name} is {vm.state} at epoch {vm.epoch}, not {command.expected_epoch}"
        return refuse(ResultCode.STALE_EPOCH, message)
    if command.state not in TRANSITIONS[vm.state]:
        return refuse(
            ResultCode.VM_STATE_CONFLICT, f"VM {vm.name} cannot change from {vm.state} to {command.state}"
        )
    if command.state is VmState.READY and vm.name in state.tables.permits:
        return refuse(
            ResultCode.VM_STATE_CONFLICT, f"VM {vm.name} is under a disruption permit; return it first"
        )
    if command.state is VmState.DRAINED and vm.name not in state.tables.permits:
        return refuse(ResultCode.VM_STATE_CONFLICT, f"VM {vm.name} has no permit that would end its drain")
    if command.state is VmState.DRAINED and state.indexes.running.get(vm.name):
        return refuse(ResultCode.VM_NOT_EMPTY, f"VM {vm.name} still runs tasks")
    vm.state = command.state
    vm.reason = command.reason
    vm.epoch += 1
    return Ok(Change(generation=vm.epoch, reference=vm.name))


def move_vm(state: ControlState, command: MoveVm) -> Result[Change, Failure]:
    """Moves an empty VM to another pool."""
    vm = state.tables.vms.get(command.vm)
    document = state.document()
    if vm is None:
        return refuse(ResultCode.UNKNOWN_VM, f"VM {command.vm!r} does not exist")
    if vm.epoch != command.expected_epoch:
        message = f"VM {vm.name} is in pool {vm.pool} at epoch {vm.epoch}, not {command.expected_epoch}"
        return refuse(ResultCode.STALE_EPOCH, message)
    if document is None or document.pool(name=command.target) is None:
        return refuse(ResultCode.UNKNOWN_POOL, f"pool {command.target!r} is not in the production document")
    if vm.state is not VmState.DRAINED or state.indexes.running.get(vm.name):
        return refuse(ResultCode.VM_NOT_EMPTY, f"VM {vm.name} is {vm.state}; drain it before a move")
    exhausted = _find_exhausted_target_budget(state, vm=vm, target=command.target)
    if exhausted:
        return refuse(ResultCode.BUDGET_EXHAUSTED, exhausted)
    _record_move(state, vm=vm, target=command.target)
    vm.pool = command.target
    if has_move_permit(state, vm=vm):
        # The VM would count as down in the target pool until the permit is returned, so it becomes ready at once.
        del state.tables.permits[vm.name]
        vm.state = VmState.READY
    vm.reason = command.reason
    vm.epoch += 1
    return Ok(Change(generation=vm.epoch, reference=vm.name))


def _record_move(state: ControlState, *, vm: Vm, target: str) -> None:
    permit = state.tables.permits.get(vm.name)
    holder = permit.holder if permit else ""
    is_return = bool(holder) and (vm.moved_for, vm.moved_from) == (holder, target)
    vm.moved_for = "" if is_return else holder
    vm.moved_from = "" if is_return or not holder else vm.pool


def _find_exhausted_target_budget(state: ControlState, *, vm: Vm, target: str) -> str:
    """Describes the budget of the target pool that a VM would exceed if it stays down after its move."""
    if has_move_permit(state, vm=vm):
        return ""
    permit = state.tables.permits.get(vm.name)
    purpose = permit.purpose if permit else PermitPurpose.MOVE
    return find_exhausted_budget(state, vm=replace(vm, pool=target), purpose=purpose)


def _add_vm(state: ControlState, command: RegisterVm) -> Result[Change, Failure]:
    document = state.document()
    if document is None or document.pool(name=command.pool) is None:
        return refuse(ResultCode.UNKNOWN_POOL, f"pool {command.pool!r} is not in the production document")
    if command.zone not in state.tables.zones:
        return refuse(ResultCode.UNKNOWN_ZONE, f"zone {command.zone!r} does not exist")
    state.tables.vms[command.vm] = Vm(
        name=command.vm,
        zone=command.zone,
        rack=command.rack,
        pool=command.pool,
        capacity=command.capacity,
        home=command.home,
        boot_id=command.boot_id,
    )
    return Ok(Change(generation=1, reference=command.vm))


__all__ = ["TRANSITIONS", "change_vm", "move_vm", "register_vm"]
