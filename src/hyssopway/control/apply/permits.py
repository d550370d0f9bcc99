"""Applies disruption permits against availability budgets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Ok, Result

from hyssopway.control.change import Change
from hyssopway.control.record import Permit, PermitPurpose, VmState
from hyssopway.result import ResultCode

from .refusal import refuse

if TYPE_CHECKING:
    from hyssopway.control.command import ReturnPermit, TakePermit
    from hyssopway.control.record import Vm
    from hyssopway.control.state import ControlState
    from hyssopway.document import Budget
    from hyssopway.result import Failure


def take_permit(state: ControlState, command: TakePermit) -> Result[Change, Failure]:
    """Starts a planned stop if planned and unplanned losses stay within the budget."""
    vm = state.tables.vms.get(command.vm)
    if vm is None:
        return refuse(ResultCode.UNKNOWN_VM, f"VM {command.vm!r} does not exist")
    permit = state.tables.permits.get(vm.name)
    if permit is not None:
        if permit.holder == command.holder:
            return Ok(Change(generation=vm.epoch, reference=vm.name))
        return refuse(ResultCode.VM_STATE_CONFLICT, f"{permit.holder} holds the permit of VM {vm.name}")
    if vm.epoch != command.expected_epoch or vm.state not in (VmState.READY, VmState.QUARANTINED):
        return refuse(ResultCode.STALE_EPOCH, f"VM {vm.name} is {vm.state} at epoch {vm.epoch}")
    excess = find_excess(state, vm=vm, purpose=command.purpose)
    if excess:
        return refuse(ResultCode.BUDGET_EXHAUSTED, excess)
    state.tables.permits[vm.name] = Permit(
        vm=vm.name, purpose=command.purpose, holder=command.holder, at_ms=state.tables.wall_ms
    )
    vm.state = VmState.DRAINING
    vm.reason = f"{command.purpose} by {command.holder}"
    vm.epoch += 1
    return Ok(Change(generation=vm.epoch, reference=vm.name))


def return_permit(state: ControlState, command: ReturnPermit) -> Result[Change, Failure]:
    """Ends a planned stop."""
    vm = state.tables.vms.get(command.vm)
    permit = state.tables.permits.get(command.vm)
    if vm is None or permit is None:
        return refuse(ResultCode.VM_STATE_CONFLICT, f"VM {command.vm!r} has no permit")
    if permit.holder != command.holder:
        return refuse(ResultCode.VM_STATE_CONFLICT, f"{permit.holder} holds the permit of VM {vm.name}")
    del state.tables.permits[vm.name]
    if vm.state is not VmState.DOWN:
        vm.state = VmState.READY
    vm.reason = command.reason
    vm.epoch += 1
    return Ok(Change(generation=vm.epoch, reference=vm.name))


def find_excess(state: ControlState, *, vm: Vm, purpose: PermitPurpose) -> str:
    """Says which budget one more stopped VM would exceed; empty when none."""
    document = state.document()
    pool = document.pool(name=vm.pool) if document else None
    if pool is None:
        return f"pool {vm.pool} has no budget"
    down = [other for other in state.tables.vms.values() if other.pool == vm.pool and _is_down(other)]
    return _compare(budget=pool.budget, down=down, vm=vm, purpose=purpose)


def _compare(*, budget: Budget, down: list[Vm], vm: Vm, purpose: PermitPurpose) -> str:
    others = [other for other in down if other.name != vm.name]
    in_rack = sum((other.zone, other.rack) == (vm.zone, vm.rack) for other in others)
    in_zone = sum(other.zone == vm.zone for other in others)
    if len(others) >= budget.max_down:
        names = ", ".join(sorted(other.name for other in others))
        return f"pool {vm.pool} allows {budget.max_down} VMs down; already down: {names}"
    if purpose is PermitPurpose.WITHDRAWAL:
        return ""
    if in_rack >= budget.max_down_per_rack:
        return f"pool {vm.pool} allows {budget.max_down_per_rack} VMs down in rack {vm.rack}"
    if in_zone >= budget.max_down_per_zone:
        return f"pool {vm.pool} allows {budget.max_down_per_zone} VMs down in zone {vm.zone}"
    return ""


def _is_down(vm: Vm) -> bool:
    return vm.state is not VmState.READY


__all__ = ["find_excess", "return_permit", "take_permit"]
