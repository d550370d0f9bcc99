"""Takes and returns disruption permits within the availability budgets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Ok, Result

from hyssopway.control.change import Change
from hyssopway.control.record import Permit, PermitPurpose, VmState, ZoneStatus
from hyssopway.result import ResultCode

from .budgets import find_broken_budget, find_exhausted_budget
from .refusal import refuse

if TYPE_CHECKING:
    from hyssopway.control.command import ReturnPermit, TakePermit
    from hyssopway.control.record import Vm
    from hyssopway.control.state import ControlState
    from hyssopway.result import Failure


def take_permit(state: ControlState, command: TakePermit) -> Result[Change, Failure]:
    """Starts a planned stop of a VM if all VMs that are down, planned or not, stay within the budgets."""
    vm = state.tables.vms.get(command.vm)
    if vm is None:
        return refuse(ResultCode.UNKNOWN_VM, f"VM {command.vm!r} does not exist")
    permit = state.tables.permits.get(vm.name)
    if permit is not None:
        if (permit.holder, permit.purpose) == (command.holder, command.purpose):
            return Ok(Change(generation=vm.epoch, reference=vm.name))
        return refuse(ResultCode.VM_STATE_CONFLICT, f"{permit.holder} holds the permit of VM {vm.name}")
    if vm.epoch != command.expected_epoch or vm.state not in (VmState.READY, VmState.QUARANTINED):
        return refuse(ResultCode.STALE_EPOCH, f"VM {vm.name} is {vm.state} at epoch {vm.epoch}")
    refusal = _check_purpose(state, vm=vm, purpose=command.purpose) or _check_budgets(
        state, vm=vm, purpose=command.purpose
    )
    if refusal is not None:
        return refusal
    state.tables.permits[vm.name] = Permit(
        vm=vm.name,
        purpose=command.purpose,
        holder=command.holder,
        at_ms=state.tables.now_ms,
        target=command.target,
    )
    vm.state = VmState.DRAINING
    vm.reason = f"{command.purpose} by {command.holder}"
    vm.epoch += 1
    return Ok(Change(generation=vm.epoch, reference=vm.name))


def return_permit(state: ControlState, command: ReturnPermit) -> Result[Change, Failure]:
    """Ends a planned stop of a VM."""
    vm = state.tables.vms.get(command.vm)
    permit = state.tables.permits.get(command.vm)
    if vm is None or permit is None:
        return refuse(ResultCode.VM_STATE_CONFLICT, f"VM {command.vm!r} has no permit")
    if permit.holder != command.holder:
        return refuse(ResultCode.VM_STATE_CONFLICT, f"{permit.holder} holds the permit of VM {vm.name}")
    if command.expected_epoch not in (None, vm.epoch):
        return refuse(ResultCode.STALE_EPOCH, f"VM {vm.name} is {vm.state} at epoch {vm.epoch}")
    if vm.state is VmState.REBOOTING:
        return refuse(ResultCode.VM_STATE_CONFLICT, f"VM {vm.name} is rebooting; it is not ready yet")
    del state.tables.permits[vm.name]
    if vm.state is not VmState.DOWN:
        vm.state = VmState.READY
    vm.reason = command.reason
    vm.epoch += 1
    return Ok(Change(generation=vm.epoch, reference=vm.name))


def has_move_permit(state: ControlState, *, vm: Vm) -> bool:
    """Returns whether a VM is stopped to be moved to another pool."""
    permit = state.tables.permits.get(vm.name)
    return permit is not None and permit.purpose is PermitPurpose.MOVE


def _check_purpose(state: ControlState, *, vm: Vm, purpose: PermitPurpose) -> Result[Change, Failure] | None:
    zone = state.tables.zones[vm.zone]
    if purpose is PermitPurpose.WITHDRAWAL and zone.status is not ZoneStatus.WITHDRAWN:
        message = f"zone {zone.name} is {zone.status}; only VMs of a withdrawn zone are emptied for it"
        return refuse(ResultCode.VM_STATE_CONFLICT, message)
    if purpose is PermitPurpose.MOVE and vm.state is VmState.QUARANTINED:
        return refuse(ResultCode.VM_STATE_CONFLICT, f"VM {vm.name} is quarantined; no pool can use it")
    return None


def _check_budgets(state: ControlState, *, vm: Vm, purpose: PermitPurpose) -> Result[Change, Failure] | None:
    broken = find_broken_budget(state)
    if broken:
        return refuse(
            ResultCode.BUDGET_BROKEN, f"no planned stop while failures alone exceed a budget: {broken}"
        )
    exhausted = find_exhausted_budget(state, vm=vm, purpose=purpose)
    return refuse(ResultCode.BUDGET_EXHAUSTED, exhausted) if exhausted else None


__all__ = ["find_exhausted_budget", "has_move_permit", "return_permit", "take_permit"]
