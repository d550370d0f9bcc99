"""Permits, moves and returns against budgets."""

from __future__ import annotations

import copy

import pytest

from hyssopway.control.command import (
    ChangeVm,
    DecideDrain,
    DrainVm,
    MoveVm,
    RequestMove,
    ReturnPermit,
    ReturnVm,
    SetZone,
    TakePermit,
)
from hyssopway.control.record import DrainDecision, PermitPurpose, VmState, ZoneStatus
from hyssopway.result import ResultCode


def take(state_machine, vm, *, purpose=PermitPurpose.OPERATOR, holder="holder"):
    command = TakePermit(vm=vm, purpose=purpose, holder=holder, expected_epoch=state_machine.vm(vm).epoch)
    return code(state_machine.apply(command))


def change(state_machine, vm, state):
    command = ChangeVm(vm=vm, state=state, expected_epoch=state_machine.vm(vm).epoch, reason="test")
    return code(state_machine.apply(command))


def operate(state_machine, kind, vm, request_id="r", **fields):
    epoch = state_machine.vm(vm).epoch
    return state_machine.apply(
        kind(vm=vm, expected_epoch=epoch, request_id=request_id, operator="kim", **fields)
    )


def set_zone(state_machine, zone, status):
    index = state_machine.state.applied_index
    state_machine.apply(SetZone(zone=zone, status=status, request_id=f"z{index}", operator="kim"))


def code(outcome):
    return outcome.failure.code if outcome.failure else ResultCode.OK


def drained(state_machine, vm, purpose=PermitPurpose.OPERATOR):
    assert take(state_machine, vm, purpose=purpose) is ResultCode.OK
    assert change(state_machine, vm, VmState.DRAINED) is ResultCode.OK


# VMs that fail, VMs under permits, the VM asked for, and the answer.
BUDGET_CASES = {
    "first": ([], [], "web-0", ResultCode.OK),
    "same rack": ([], ["web-0"], "web-2", ResultCode.BUDGET_EXHAUSTED),
    "other rack": ([], ["web-0"], "web-4", ResultCode.OK),
    "all used": ([], ["web-0", "web-1"], "web-4", ResultCode.BUDGET_EXHAUSTED),
    "failure counts": (["web-1", "web-4"], [], "web-0", ResultCode.BUDGET_EXHAUSTED),
    "failure in other pool": (["batch-1"], [], "web-1", ResultCode.OK),
    "failures exceed rack of other pool": (["batch-0", "batch-2"], [], "web-1", ResultCode.BUDGET_BROKEN),
    "failures exceed pool": (["web-0", "web-1", "web-4"], [], "spare-0", ResultCode.BUDGET_BROKEN),
}


@pytest.mark.parametrize("case", BUDGET_CASES)
def test_permit_counts_planned_and_unplanned(state_machine, case):
    """Guards against a planned stop on top of failures."""
    failed, planned, vm, expected = BUDGET_CASES[case]
    for name in planned:
        assert take(state_machine, name) is ResultCode.OK
    for name in failed:
        assert change(state_machine, name, VmState.DOWN) is ResultCode.OK
    assert take(state_machine, vm) is expected


def test_service_budget_is_kept_besides_pool_budget(state_machine):
    """Guards against a service whose budget is tighter than that of its pool."""
    data = copy.deepcopy(state_machine.data)
    data["services"][0]["budget"] = {"max_down": 1}
    state_machine.change_document(data)
    assert take(state_machine, "web-0") is ResultCode.OK
    assert take(state_machine, "web-5") is ResultCode.BUDGET_EXHAUSTED


def test_lowered_budget_holds_for_the_next_permit(state_machine):
    """Guards against permits that are checked against an older document."""
    assert take(state_machine, "web-0") is ResultCode.OK
    data = copy.deepcopy(state_machine.data)
    data["pools"][0]["budget"]["max_down"] = 1
    state_machine.change_document(data)
    assert take(state_machine, "web-5") is ResultCode.BUDGET_EXHAUSTED


def test_vm_of_dropped_pool_can_only_be_moved(state_machine):
    """Guards against VMs that are stuck in a pool that a newer document dropped."""
    data = copy.deepcopy(state_machine.data)
    data["pools"] = [pool for pool in data["pools"] if pool["name"] != "batch"]
    state_machine.change_document(data)
    assert take(state_machine, "batch-0") is ResultCode.BUDGET_EXHAUSTED
    assert code(operate(state_machine, RequestMove, "batch-0", target="web")) is ResultCode.OK


def test_moved_vm_is_ready_at_once_and_takes_no_budget_of_its_new_pool(state_machine):
    """Guards against a move that brings a stopped VM into a pool without a permit there."""
    drained(state_machine, "web-0")
    drained(state_machine, "web-1")
    drained(state_machine, "spare-0", PermitPurpose.MOVE)
    drained(state_machine, "spare-1")
    moves = [
        MoveVm(vm=vm, target="web", expected_epoch=state_machine.vm(vm).epoch, reason="test")
        for vm in ("spare-0", "spare-1")
    ]
    assert [code(state_machine.apply(move)) for move in moves] == [ResultCode.OK, ResultCode.BUDGET_EXHAUSTED]
    assert (state_machine.vm("spare-0").pool, state_machine.vm("spare-0").state) == ("web", VmState.READY)
    assert "spare-0" not in state_machine.state.tables.permits
    assert state_machine.vm("spare-1").pool == "spare"


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        (ZoneStatus.WITHDRAWN, ResultCode.OK),
        (ZoneStatus.RETURNING, ResultCode.VM_STATE_CONFLICT),
        (ZoneStatus.OPEN, ResultCode.VM_STATE_CONFLICT),
    ],
)
def test_withdrawal_permit_needs_withdrawn_zone(state_machine, status, expected):
    """Guards against a late withdrawal that ignores rack budgets after the zone came back."""
    set_zone(state_machine, "east", ZoneStatus.WITHDRAWN)
    assert take(state_machine, "web-0", purpose=PermitPurpose.WITHDRAWAL) is ResultCode.OK
    set_zone(state_machine, "east", status)
    assert take(state_machine, "web-2", purpose=PermitPurpose.WITHDRAWAL) is expected


def test_failures_of_a_withdrawn_zone_break_only_the_whole_budget(state_machine):
    """Guards against a withdrawn zone whose rack failure stops maintenance everywhere."""
    set_zone(state_machine, "east", ZoneStatus.WITHDRAWN)
    for vm in ("web-0", "web-2"):
        change(state_machine, vm, VmState.DOWN)
    assert take(state_machine, "batch-1") is ResultCode.OK
    change(state_machine, "web-4", VmState.DOWN)
    assert take(state_machine, "batch-5") is ResultCode.BUDGET_BROKEN


def test_permit_is_not_returned_early_by_an_older_leader(state_machine):
    """Guards against a VM that takes work while it reboots."""
    drained(state_machine, "web-0")
    old = ReturnPermit(
        vm="web-0", holder="holder", reason="", expected_epoch=state_machine.vm("web-0").epoch - 1
    )
    assert code(state_machine.apply(old)) is ResultCode.STALE_EPOCH
    change(state_machine, "web-0", VmState.REBOOTING)
    late = ReturnPermit(vm="web-0", holder="holder", reason="")
    assert code(state_machine.apply(late)) is ResultCode.VM_STATE_CONFLICT


def test_vm_that_comes_back_without_permit_is_not_stuck_as_drained(state_machine):
    """Guards against a drained VM whose permit nobody holds."""
    change(state_machine, "web-0", VmState.DOWN)
    assert change(state_machine, "web-0", VmState.DRAINED) is ResultCode.VM_STATE_CONFLICT
    assert change(state_machine, "web-0", VmState.READY) is ResultCode.OK


def test_operators_race_for_one_vm(state_machine):
    """Guards against a second operator who takes over a drain, and a resend that drains again."""
    command = DrainVm(vm="web-0", expected_epoch=1, request_id="r1", operator="kim")
    first = state_machine.apply(command)
    assert (code(first), state_machine.apply(command)) == (ResultCode.OK, first)
    rival = DrainVm(vm="web-0", expected_epoch=2, request_id="r2", operator="lee")
    assert code(state_machine.apply(rival)) is ResultCode.VM_STATE_CONFLICT
    assert code(operate(state_machine, ReturnVm, "web-0", "r3")) is ResultCode.OK
    assert state_machine.apply(command) == first
    assert state_machine.vm("web-0").state is VmState.READY


def test_operator_does_not_return_a_permit_of_maintenance(state_machine):
    """Guards against a VM that a wave reboots after an operator put it back to work."""
    take(state_machine, "web-0", purpose=PermitPurpose.MAINTENANCE, holder="wave-1")
    assert code(operate(state_machine, ReturnVm, "web-0")) is ResultCode.VM_STATE_CONFLICT


def test_decision_is_kept_with_the_permit(state_machine):
    """Guards against an operator's answer that a new leader does not know."""
    operate(state_machine, DrainVm, "web-0", "r1")
    state_machine.now_ms = 5000
    operate(state_machine, DecideDrain, "web-0", "r2", decision=DrainDecision.WAIT)
    assert state_machine.state.tables.permits["web-0"].at_ms == 5000
    operate(state_machine, DecideDrain, "web-0", "r3", decision=DrainDecision.STOP)
    data = state_machine.state.encode_snapshot()
    state_machine.state.restore_snapshot(data)
    assert state_machine.state.tables.permits["web-0"].stop_work
