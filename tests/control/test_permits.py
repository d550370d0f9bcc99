"""Disruption permits, moves and returns under availability budgets."""

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


def take_permit(fleet, vm, *, purpose=PermitPurpose.OPERATOR, holder="holder"):
    command = TakePermit(vm=vm, purpose=purpose, holder=holder, expected_epoch=fleet.vm(vm).epoch)
    return code(fleet.apply(command))


def change_state(fleet, vm, state):
    command = ChangeVm(vm=vm, state=state, expected_epoch=fleet.vm(vm).epoch, reason="test")
    return code(fleet.apply(command))


def apply_operator_command(fleet, kind, vm, request_id="r", **fields):
    epoch = fleet.vm(vm).epoch
    return fleet.apply(kind(vm=vm, expected_epoch=epoch, request_id=request_id, operator="kim", **fields))


def set_zone(fleet, zone, status):
    index = fleet.state.applied_index
    fleet.apply(SetZone(zone=zone, status=status, request_id=f"z{index}", operator="kim"))


def code(outcome):
    return outcome.failure.code if outcome.failure else ResultCode.OK


def drain_completely(fleet, vm, purpose=PermitPurpose.OPERATOR):
    assert take_permit(fleet, vm, purpose=purpose) is ResultCode.OK
    assert change_state(fleet, vm, VmState.DRAINED) is ResultCode.OK


# VMs that fail, VMs under permits, the VM that a permit is requested for, and the expected result code.
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
def test_permit_counts_planned_and_unplanned_stops(fleet, case):
    """Guards against a planned stop that exceeds a budget together with failures."""
    failed, planned, vm, expected = BUDGET_CASES[case]
    for name in planned:
        assert take_permit(fleet, name) is ResultCode.OK
    for name in failed:
        assert change_state(fleet, name, VmState.DOWN) is ResultCode.OK
    assert take_permit(fleet, vm) is expected


def test_service_budget_applies_in_addition_to_pool_budget(fleet):
    """Guards against ignoring the budget of a service that is tighter than that of its pool."""
    data = copy.deepcopy(fleet.data)
    data["services"][0]["budget"] = {"max_down": 1}
    fleet.change_document(data)
    assert take_permit(fleet, "web-0") is ResultCode.OK
    assert take_permit(fleet, "web-5") is ResultCode.BUDGET_EXHAUSTED


def test_lowered_budget_applies_to_the_next_permit(fleet):
    """Guards against permits that are checked against an older document."""
    assert take_permit(fleet, "web-0") is ResultCode.OK
    data = copy.deepcopy(fleet.data)
    data["pools"][0]["budget"]["max_down"] = 1
    fleet.change_document(data)
    assert take_permit(fleet, "web-5") is ResultCode.BUDGET_EXHAUSTED


def test_vm_of_removed_pool_can_only_be_moved(fleet):
    """Guards against VMs that can't leave a pool that a newer document removed."""
    data = copy.deepcopy(fleet.data)
    data["pools"] = [pool for pool in data["pools"] if pool["name"] != "batch"]
    fleet.change_document(data)
    assert take_permit(fleet, "batch-0") is ResultCode.BUDGET_EXHAUSTED
    assert code(apply_operator_command(fleet, RequestMove, "batch-0", target="web")) is ResultCode.OK


def test_moved_vm_is_ready_at_once_and_does_not_use_the_budget_of_its_new_pool(fleet):
    """Guards against a move that adds a stopped VM to a pool whose budget does not allow it."""
    drain_completely(fleet, "web-0")
    drain_completely(fleet, "web-1")
    drain_completely(fleet, "spare-0", PermitPurpose.MOVE)
    drain_completely(fleet, "spare-1")
    moves = [
        MoveVm(vm=vm, target="web", expected_epoch=fleet.vm(vm).epoch, reason="test")
        for vm in ("spare-0", "spare-1")
    ]
    assert [code(fleet.apply(move)) for move in moves] == [ResultCode.OK, ResultCode.BUDGET_EXHAUSTED]
    assert (fleet.vm("spare-0").pool, fleet.vm("spare-0").state) == ("web", VmState.READY)
    assert "spare-0" not in fleet.state.tables.permits
    assert fleet.vm("spare-1").pool == "spare"


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        (ZoneStatus.WITHDRAWN, ResultCode.OK),
        (ZoneStatus.RETURNING, ResultCode.VM_STATE_CONFLICT),
        (ZoneStatus.OPEN, ResultCode.VM_STATE_CONFLICT),
    ],
)
def test_withdrawal_permit_needs_withdrawn_zone(fleet, status, expected):
    """Guards against a delayed withdrawal command that ignores rack limits after the zone has returned."""
    set_zone(fleet, "east", ZoneStatus.WITHDRAWN)
    assert take_permit(fleet, "web-0", purpose=PermitPurpose.WITHDRAWAL) is ResultCode.OK
    set_zone(fleet, "east", status)
    assert take_permit(fleet, "web-2", purpose=PermitPurpose.WITHDRAWAL) is expected


def test_failures_in_a_withdrawn_zone_count_only_towards_max_down(fleet):
    """Guards against a rack failure in a withdrawn zone that blocks planned stops in all other zones."""
    set_zone(fleet, "east", ZoneStatus.WITHDRAWN)
    for vm in ("web-0", "web-2"):
        change_state(fleet, vm, VmState.DOWN)
    assert take_permit(fleet, "batch-1") is ResultCode.OK
    change_state(fleet, "web-4", VmState.DOWN)
    assert take_permit(fleet, "batch-5") is ResultCode.BUDGET_BROKEN


def test_permit_is_not_returned_early_by_a_former_leader(fleet):
    """Guards against a VM that is given work while it reboots."""
    drain_completely(fleet, "web-0")
    old = ReturnPermit(vm="web-0", holder="holder", reason="", expected_epoch=fleet.vm("web-0").epoch - 1)
    assert code(fleet.apply(old)) is ResultCode.STALE_EPOCH
    change_state(fleet, "web-0", VmState.REBOOTING)
    late = ReturnPermit(vm="web-0", holder="holder", reason="")
    assert code(fleet.apply(late)) is ResultCode.VM_STATE_CONFLICT


def test_vm_that_recovers_without_permit_does_not_stay_drained(fleet):
    """Guards against a drained VM without a permit, which nothing would return to service."""
    change_state(fleet, "web-0", VmState.DOWN)
    assert change_state(fleet, "web-0", VmState.DRAINED) is ResultCode.VM_STATE_CONFLICT
    assert change_state(fleet, "web-0", VmState.READY) is ResultCode.OK


def test_second_operator_cannot_take_over_a_drain(fleet):
    """Guards against an operator who takes over another one's drain, and a retry that drains the VM again."""
    command = DrainVm(vm="web-0", expected_epoch=1, request_id="r1", operator="kim")
    first = fleet.apply(command)
    assert (code(first), fleet.apply(command)) == (ResultCode.OK, first)
    rival = DrainVm(vm="web-0", expected_epoch=2, request_id="r2", operator="lee")
    assert code(fleet.apply(rival)) is ResultCode.VM_STATE_CONFLICT
    assert code(apply_operator_command(fleet, ReturnVm, "web-0", "r3")) is ResultCode.OK
    assert fleet.apply(command) == first
    assert fleet.vm("web-0").state is VmState.READY


def test_operator_cannot_return_a_permit_of_a_wave(fleet):
    """Guards against a VM that a wave reboots after an operator returned it to service."""
    take_permit(fleet, "web-0", purpose=PermitPurpose.MAINTENANCE, holder="wave-1")
    assert code(apply_operator_command(fleet, ReturnVm, "web-0")) is ResultCode.VM_STATE_CONFLICT


def test_drain_decision_is_stored_with_the_permit(fleet):
    """Guards against an operator's decision that a new leader does not know."""
    apply_operator_command(fleet, DrainVm, "web-0", "r1")
    fleet.now_ms = 5000
    apply_operator_command(fleet, DecideDrain, "web-0", "r2", decision=DrainDecision.WAIT)
    assert fleet.state.tables.permits["web-0"].at_ms == 5000
    apply_operator_command(fleet, DecideDrain, "web-0", "r3", decision=DrainDecision.STOP)
    data = fleet.state.encode_snapshot()
    fleet.state.restore_snapshot(data)
    assert fleet.state.tables.permits["web-0"].stop_work
