"""Completed drains, after which a VM can be moved, and drains that take too long."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.control.command import MoveVm, ReturnPermit
from hyssopway.control.record import PermitPurpose, VmState
from hyssopway.document import MaintenancePolicy

if TYPE_CHECKING:
    from hyssopway.control import ControlState
    from hyssopway.control.record import Permit


def decide_moves(state: ControlState) -> list[MoveVm | ReturnPermit]:
    """Returns the moves of VMs that have drained, and returns permits whose target pool no longer exists."""
    document = state.document()
    commands: list[MoveVm | ReturnPermit] = []
    for permit in state.tables.permits.values():
        vm = state.tables.vms[permit.vm]
        if permit.purpose is not PermitPurpose.MOVE:
            continue
        if document is None or document.pool(name=permit.target) is None:
            reason = f"pool {permit.target!r} is no longer in the document"
            commands.append(
                ReturnPermit(vm=vm.name, holder=permit.holder, reason=reason, expected_epoch=vm.epoch)
            )
        elif vm.state is VmState.DRAINED:
            commands.append(
                MoveVm(vm=vm.name, target=permit.target, expected_epoch=vm.epoch, reason=permit.holder)
            )
    return commands


def find_overdue_drains(state: ControlState, *, now_ms: int) -> list[Permit]:
    """Returns the permits of VMs that have been draining for longer than `drain_s`."""
    document = state.document()
    policy = document.maintenance if document else MaintenancePolicy()
    return [
        permit
        for permit in state.tables.permits.values()
        if state.tables.vms[permit.vm].state is VmState.DRAINING
        and not permit.stop_work
        and now_ms - permit.at_ms > policy.drain_s * 1000
    ]


__all__ = ["decide_moves", "find_overdue_drains"]
