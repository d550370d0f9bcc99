"""Decisions of the leader about liveness, moves and drains."""

from __future__ import annotations

import pytest

from hyssopway.control.command import ChangeVm, DrainVm, RequestMove
from hyssopway.control.record import VmState
from hyssopway.fleet import Liveness
from hyssopway.fleet.drains import decide_moves, find_overdue
from hyssopway.fleet.liveness import SILENT_S
from hyssopway_standins.agreed import AgreedStandIn

VM = "restock-vm-1"


@pytest.fixture
def agreed():
    return AgreedStandIn.prepare_example("pantry")


def operate(agreed, kind, **fields):
    outcome = agreed.apply(
        kind(vm=VM, expected_epoch=agreed.vm(VM).epoch, request_id="r", operator="kim", **fields)
    )
    assert outcome.failure is None


def change(agreed, *states):
    for state in states:
        agreed.apply(ChangeVm(vm=VM, state=state, expected_epoch=agreed.vm(VM).epoch, reason="test"))


# States that the VM went through, whether it is under a permit, its silence, and the next state.
LIVENESS = {
    "syncs": ((), False, 0.5, None),
    "silent within its lease": ((), False, SILENT_S - 0.5, None),
    "silent": ((), False, SILENT_S + 0.5, VmState.DOWN),
    "silent while draining": ((), True, SILENT_S + 0.5, VmState.DOWN),
    "silent while rebooting": ((VmState.DRAINED, VmState.REBOOTING), True, 60.0, None),
    "down and still silent": ((VmState.DOWN,), False, 60.0, None),
    "back": ((VmState.DOWN,), False, 0.5, VmState.READY),
    "back under permit": ((VmState.DOWN,), True, 0.5, VmState.DRAINED),
}


@pytest.mark.parametrize("case", LIVENESS)
def test_silent_worker_makes_its_vm_down(agreed, case):
    """Guards against lost VMs that budgets do not count, and against reboots that count as losses."""
    states, permit, silent_s, expected = LIVENESS[case]
    if permit:
        operate(agreed, DrainVm)
    change(agreed, *states)
    liveness = Liveness(led_since=0.0)
    liveness.note(silent_s=dict.fromkeys(agreed.state.tables.vms, 0.1), asked_at=100.0)
    liveness.heard_at[VM] = 100.0 - silent_s
    changes = liveness.decide(state=agreed.state, now=100.0)
    assert [(item.vm, item.state) for item in changes] == ([(VM, expected)] if expected else [])


def test_new_leader_listens_before_it_declares_vms_down(agreed):
    """Guards against a new leader that takes the whole fleet down."""
    liveness = Liveness(led_since=50.0)
    assert not liveness.decide(state=agreed.state, now=50.0 + SILENT_S - 0.1)
    assert len(liveness.decide(state=agreed.state, now=50.0 + SILENT_S + 0.1)) == 40


def test_move_is_made_once_the_vm_is_empty(agreed):
    """Guards against a move that a new leader forgets."""
    operate(agreed, RequestMove, target="pickup")
    assert not decide_moves(agreed.state)
    change(agreed, VmState.DRAINED)
    (move,) = decide_moves(agreed.state)
    agreed.apply(move)
    assert (agreed.vm(VM).pool, agreed.vm(VM).state) == ("pickup", VmState.READY)
    assert not decide_moves(agreed.state)


def test_move_to_a_dropped_pool_is_taken_back(agreed):
    """Guards against a VM that stays drained because its new pool no longer exists."""
    operate(agreed, RequestMove, target="pickup")
    change(agreed, VmState.DRAINED)
    data = agreed.data
    data["pools"] = [pool for pool in data["pools"] if pool["name"] != "pickup"]
    data["services"] = [service for service in data["services"] if service["pool"] != "pickup"]
    agreed.change_document(data)
    for command in decide_moves(agreed.state):
        agreed.apply(command)
    assert agreed.vm(VM).state is VmState.READY


@pytest.mark.parametrize(
    ("after_ms", "states", "overdue"),
    [
        (599_000, (), False),
        (601_000, (), True),
        (601_000, (VmState.DRAINED,), False),
    ],
)
def test_drain_that_does_not_end_is_found(agreed, after_ms, states, overdue):
    """Guards against a drain that blocks its budget without anybody knowing."""
    operate(agreed, DrainVm)
    change(agreed, *states)
    assert [permit.vm for permit in find_overdue(agreed.state, now_ms=after_ms)] == [VM] * overdue
