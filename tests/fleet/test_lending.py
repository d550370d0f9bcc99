"""Tests of lending spare VMs, with a fake clock."""

from __future__ import annotations

from collections import Counter

import pytest

from hyssopway.control.command import SetZone
from hyssopway.control.record import VmState, ZoneStatus
from hyssopway.fleet.demand import Demand, count_waiting_cores
from hyssopway.fleet.lending import decide_lending, required_spare_vms
from hyssopway_standins.state_machine import StateMachineStandIn
from hyssopway_standins.wave_driver import WaveDriver
from states import make_submitter


@pytest.fixture
def driver():
    return WaveDriver(state_machine=StateMachineStandIn.prepare_example("pantry"))


def run(driver, *, rounds, waiting, demand):
    """Runs rounds with a constant demand in cores by pool and returns the requested moves."""
    moves = []
    for _ in range(rounds):
        demand.add_sample(waiting=waiting, now=driver.state_machine.now_ms / 1000)
        commands = decide_lending(driver.state_machine.state, demand=demand)
        assert [driver.state_machine.apply(command).failure for command in commands] == [None] * len(commands)
        moves.extend((command.vm, command.target) for command in commands)
        driver.run_round()
    return moves


def pool_size(driver, pool):
    return sum(vm.pool == pool for vm in driver.state_machine.state.tables.vms.values())


def test_spare_vms_are_lent_and_returned(driver):
    """Guards against a pool that lacks capacity while spare VMs idle, and spare VMs that are never returned."""
    demand = Demand()
    moves = run(driver, rounds=40, waiting={"pickup": 256.0}, demand=demand)
    assert {target for _, target in moves} == {"pickup"}
    zones = Counter(vm.zone for vm in driver.state_machine.state.tables.vms.values() if vm.pool == "pickup")
    assert max(zones.values()) - min(zones.values()) <= 1
    run(driver, rounds=120, waiting={}, demand=demand)
    assert (pool_size(driver, "pickup"), pool_size(driver, "back-office")) == (8, 8)


def test_fluctuating_demand_does_not_move_vms_back_and_forth(driver):
    """Guards against VMs that are moved back and forth when demand fluctuates around the threshold."""
    demand, moves = Demand(), []
    for number in range(60):
        waiting = {"pickup": 80.0 if number % 2 else 16.0}
        moves += run(driver, rounds=1, waiting=waiting, demand=demand)
    assert all(target == "pickup" for _, target in moves)


@pytest.mark.parametrize("reserved", ["wave", "zone", "failures"])
def test_nothing_is_lent_while_the_spare_vms_are_reserved(driver, reserved):
    """Guards against lending spare VMs that a wave, a withdrawal or failures need at once."""
    match reserved:
        case "wave":
            driver.start()
        case "zone":
            zone = SetZone(zone="Nashua", status=ZoneStatus.WITHDRAWN, request_id="z", operator="kim")
            driver.state_machine.apply(zone)
        case "failures":
            for number in (1, 2, 3):
                driver.change(f"restock-vm-{number}", VmState.DOWN)
    assert not run(driver, rounds=20, waiting={"pickup": 512.0}, demand=Demand())


@pytest.mark.parametrize(
    ("policy", "kept"),
    [
        ({"survive_zone": True, "survive_rack": True, "lend": False}, 2),
        ({"survive_zone": False, "survive_rack": True, "lend": False}, 1),
        ({"survive_zone": True, "survive_rack": True, "lend": True}, 0),
    ],
)
def test_buffer_of_the_policy_is_not_lent(driver, policy, kept):
    """Guards against lending the spare VMs that are reserved for the loss of a rack or zone."""
    driver.state_machine.change_document(driver.state_machine.data | {"buffer": policy})
    document = driver.state_machine.state.document()
    if kept:
        assert required_spare_vms(driver.state_machine.state, document=document, spare="back-office") == kept
    run(driver, rounds=200, waiting={"pickup": 5000.0}, demand=Demand())
    assert pool_size(driver, "back-office") == kept


@pytest.mark.parametrize(
    ("team", "started", "accepted", "cores"),
    [("red", 0, 2, 8), ("red", 0, 9, 12), ("red", 2, 5, 4), ("red", 3, 5, 0), ("blue", 3, 9, 24)],
)
def test_jobs_blocked_by_a_limit_are_no_demand(team, started, accepted, cores):
    """Guards against lending VMs for jobs that stay pending anyway because of their team's limit of 3 tasks."""
    submitter = make_submitter()
    submitter.register("vm-1")
    for number in range(accepted):
        assert submitter.accept(f"job-{number}", team=team).failure is None
    for number in range(started):
        assert submitter.start(f"job-{number}", "vm-1").failure is None
    assert count_waiting_cores(submitter.state) == ({"p": cores} if cores else {})


def test_jobs_of_a_removed_team_are_no_demand():
    """Guards against lending VMs for jobs of a team that a newer document removed."""
    submitter = make_submitter()
    submitter.accept("job-1", team="red")
    submitter.state.document().teams.clear()
    assert count_waiting_cores(submitter.state) == {}
