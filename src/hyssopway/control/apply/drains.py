"""Applies operators' commands to drain, move and return single VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Ok, Result

from hyssopway.control.change import Change
from hyssopway.control.command import ReturnPermit, TakePermit
from hyssopway.control.record import DrainDecision, PermitPurpose
from hyssopway.result import ResultCode

from .permits import return_permit, take_permit
from .refusal import refuse

if TYPE_CHECKING:
    from hyssopway.control.command import DecideDrain, DrainVm, RecordDrainQuestion, RequestMove, ReturnVm
    from hyssopway.control.state import ControlState
    from hyssopway.result import Failure

OPERATOR_PURPOSES = (PermitPurpose.OPERATOR, PermitPurpose.MOVE)


def drain_vm(state: ControlState, command: DrainVm) -> Result[Change, Failure]:
    """Takes a permit for a drain; the VM drains until an operator returns the permit."""
    return _take_operator_permit(state, command, purpose=PermitPurpose.OPERATOR)


def request_move(state: ControlState, command: RequestMove) -> Result[Change, Failure]:
    """Takes a permit for a move to another pool."""
    document = state.document()
    vm = state.tables.vms.get(command.vm)
    if document is None or document.pool(name=command.target) is None:
        return refuse(ResultCode.UNKNOWN_POOL, f"pool {command.target!r} is not in the production document")
    if vm is not None and vm.pool == command.target:
        return refuse(ResultCode.VM_STATE_CONFLICT, f"VM {vm.name} is in pool {vm.pool} already")
    result = _take_operator_permit(state, command, purpose=PermitPurpose.MOVE)
    if result.is_ok():
        state.tables.permits[command.vm].target = command.target
    return result


def return_vm(state: ControlState, command: ReturnVm) -> Result[Change, Failure]:
    """Returns the permit of a drain, or of a move that is not done yet."""
    refusal = _check_permit(state, command)
    if refusal is not None:
        return refusal
    permit = state.tables.permits[command.vm]
    if permit.purpose not in OPERATOR_PURPOSES:
        message = f"{permit.holder} stops VM {command.vm} for {permit.purpose}; control it there"
        return refuse(ResultCode.VM_STATE_CONFLICT, message)
    reason = f"returned by {command.operator}"
    return return_permit(state, ReturnPermit(vm=command.vm, holder=permit.holder, reason=reason))


def decide_drain(state: ControlState, command: DecideDrain) -> Result[Change, Failure]:
    """Lets the work on a draining VM continue for another period, or stops it."""
    refusal = _check_permit(state, command)
    if refusal is not None:
        return refusal
    permit = state.tables.permits[command.vm]
    vm = state.tables.vms[command.vm]
    match command.decision:
        case DrainDecision.WAIT:
            permit.at_ms = state.tables.now_ms
            permit.asked = False
        case DrainDecision.STOP:
            permit.stop_work = True
            vm.reason = f"work stopped by {command.operator}"
    return Ok(Change(generation=vm.epoch, reference=vm.name))


def record_drain_question(state: ControlState, command: RecordDrainQuestion) -> Result[Change, Failure]:
    """Records that operators were asked whether to stop the work on a draining VM."""
    permit = state.tables.permits.get(command.vm)
    if permit is None or (permit.holder, permit.at_ms) != (command.holder, command.at_ms) or permit.asked:
        message = (
            f"VM {command.vm!r} has no drain from {command.at_ms} that operators have yet to be asked about"
        )
        return refuse(ResultCode.VM_STATE_CONFLICT, message)
    permit.asked = True
    return Ok(Change(reference=command.vm))


def _take_operator_permit(
    state: ControlState, command: DrainVm | RequestMove, *, purpose: PermitPurpose
) -> Result[Change, Failure]:
    # The request ID distinguishes two requests of one operator. A retry does not get here: it returns the stored
    # outcome.
    holder = f"operator {command.operator} ({command.request_id})"
    return take_permit(
        state,
        TakePermit(vm=command.vm, purpose=purpose, holder=holder, expected_epoch=command.expected_epoch),
    )


def _check_permit(state: ControlState, command: ReturnVm | DecideDrain) -> Result[Change, Failure] | None:
    vm = state.tables.vms.get(command.vm)
    if vm is None:
        return refuse(ResultCode.UNKNOWN_VM, f"VM {command.vm!r} does not exist")
    if vm.epoch != command.expected_epoch:
        return refuse(ResultCode.STALE_EPOCH, f"VM {vm.name} is {vm.state} at epoch {vm.epoch}")
    if vm.name not in state.tables.permits:
        return refuse(ResultCode.VM_STATE_CONFLICT, f"VM {vm.name} has no permit")
    return None


__all__ = ["decide_drain", "drain_vm", "request_move", "return_vm"]
