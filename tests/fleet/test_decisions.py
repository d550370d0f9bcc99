"""Tests of the leader's decisions about moves and overdue drains."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from expression import Error, Ok
from loguru import logger

from hyssopway.control.command import ChangeVm, DecideDrain, DrainVm, RequestMove
from hyssopway.control.record import DrainDecision, VmState
from hyssopway.fleet import FleetController
from hyssopway.fleet.drains import decide_moves, find_overdue_drains
from hyssopway_standins.state_machine import StateMachineStandIn

VM = "restock-vm-1"


@pytest.fixture
def state_machine():
    return StateMachineStandIn.prepare_example("pantry")


def apply_operator_command(state_machine, kind, **fields):
    outcome = state_machine.apply(
        kind(
            vm=VM,
            expected_epoch=state_machine.vm(VM).epoch,
            request_id=kind.__name__,
            operator="kim",
            **fields,
        )
    )
    assert outcome.failure is None


def change_state(state_machine, *states):
    for state in states:
        state_machine.apply(
            ChangeVm(vm=VM, state=state, expected_epoch=state_machine.vm(VM).epoch, reason="test")
        )


def test_move_is_made_once_the_vm_is_empty(state_machine):
    """Guards against a requested move that is never made, for example after a change of the leader."""
    apply_operator_command(state_machine, RequestMove, target="pickup")
    assert not decide_moves(state_machine.state)
    change_state(state_machine, VmState.DRAINED)
    (move,) = decide_moves(state_machine.state)
    state_machine.apply(move)
    assert (state_machine.vm(VM).pool, state_machine.vm(VM).state) == ("pickup", VmState.READY)
    assert not decide_moves(state_machine.state)


def test_move_to_a_removed_pool_is_cancelled(state_machine):
    """Guards against a VM that stays drained because its new pool no longer exists."""
    apply_operator_command(state_machine, RequestMove, target="pickup")
    change_state(state_machine, VmState.DRAINED)
    data = state_machine.data
    data["pools"] = [pool for pool in data["pools"] if pool["name"] != "pickup"]
    data["services"] = [service for service in data["services"] if service["pool"] != "pickup"]
    state_machine.change_document(data)
    for command in decide_moves(state_machine.state):
        state_machine.apply(command)
    assert state_machine.vm(VM).state is VmState.READY


@pytest.mark.parametrize(
    ("after_ms", "states", "overdue"),
    [
        (599_000, (), False),
        (601_000, (), True),
        (601_000, (VmState.DRAINED,), False),
    ],
)
def test_overdue_drain_is_found(state_machine, after_ms, states, overdue):
    """Guards against a stuck drain that uses up a budget without being reported."""
    apply_operator_command(state_machine, DrainVm)
    change_state(state_machine, *states)
    assert [permit.vm for permit in find_overdue_drains(state_machine.state, now_ms=after_ms)] == [
        VM
    ] * overdue


async def test_question_about_a_drain_is_asked_once_across_two_leaders(state_machine):
    """Guards against a new leader that repeats a question, and a second timeout that goes unreported."""
    lines = []
    sink = logger.add(lines.append, level="WARNING")
    apply_operator_command(state_machine, DrainVm)
    state_machine.now_ms = 601_000
    leaders = [make_controller(state_machine) for _ in range(2)]
    for leader in [leaders[0], leaders[0], leaders[1], leaders[1]]:
        await leader.control_once()
    assert len(lines) == 1
    apply_operator_command(state_machine, DecideDrain, decision=DrainDecision.WAIT)
    await leaders[1].control_once()
    assert len(lines) == 1
    state_machine.now_ms += 601_000
    await leaders[1].control_once()
    logger.remove(sink)
    assert len(lines) == 2


def make_controller(state_machine):
    async def submit(command, timeout_s):
        outcome = state_machine.apply(command)
        return Error(outcome.failure) if outcome.failure else Ok(outcome)

    return FleetController(
        replica=SimpleNamespace(state=state_machine.state),
        submitter=SimpleNamespace(submit=submit),
        leads=lambda: True,
        clock=lambda: 0.0,
        now_ms=lambda: state_machine.now_ms,
    )
