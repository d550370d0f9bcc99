"""The spread limit of a step on VMs that stop runs, are cut off, restart under their ID or get another leader."""

from __future__ import annotations

import asyncio

import pytest

from dispatch.conftest import LIMITS, FakeLeadership
from dispatch.model_fleet import ModelFleet
from hyssopway.dispatch.lease import RUN_LEASE_S
from hyssopway.dispatch.vm_link import STOP_SLACK_S
from hyssopway.workflow import (
    BOOT_FENCES_VERSION,
    CURRENT_VERSION,
    EndRuns,
    PutDocument,
    RunEnd,
    RunOutcome,
    RunStart,
    StartRuns,
    Step,
)
from workflow.conftest import make_document, make_vm, make_workflow

STEP = "spread.0.0"
TASKS = (f"{STEP}.0", f"{STEP}.1")
STOPPED_AFTER_S = LIMITS.stop_s + STOP_SLACK_S + 0.1


@pytest.fixture
def version():
    return CURRENT_VERSION


@pytest.fixture
def leadership(version):
    return FakeLeadership(version=version)


@pytest.fixture
async def fleet(leadership):
    leadership.begin_long_ago()
    await leadership.propose(PutDocument(document=make_document(max_attempts=9)))
    result = ModelFleet(leadership)
    await result.join("vm-1")
    await result.poll()
    await leadership.propose(make_workflow("spread", steps=(Step(count=2, cpu_millis=200, spread_limit=1),)))
    return result


async def start(fleet, task, *, fault="deliver"):
    link = fleet.links["vm-1"]
    link.orders.expect_start(task=task, run=1)
    placed = RunStart(task=task, run=1, vm="vm-1")
    await fleet.leadership.propose(StartRuns(fencing_token=fleet.leadership.term, starts=(placed,)))
    (run,) = fleet.leadership.state.tables.runs[task]
    fleet.network.fault = fault
    await link.start(run, specification="", checkpoint="")
    fleet.network.fault = "deliver"


async def end_in_state(fleet, task):
    """Commits that a run was lost, although its VM may work on it."""
    lost = RunEnd(task=task, run=1, outcome=RunOutcome.LOST)
    boot = fleet.leadership.state.tables.vms["vm-1"].boot
    await fleet.leadership.propose(EndRuns(vm="vm-1", boot=boot, ends=(lost,), at_ms=9))


async def check_that_the_next_task_waits(fleet):
    """Checks that the other task of the step starts only when the VM has stopped the first one."""
    await fleet.run_round()
    assert fleet.count_by_step("vm-1") == {STEP: 1}
    assert fleet.list_committed("vm-1") == []
    fleet.advance(STOPPED_AFTER_S)
    for _ in range(2):
        await fleet.poll()
    await fleet.run_round()
    assert fleet.count_by_step("vm-1") == {STEP: 1}
    assert fleet.list_committed("vm-1") == [TASKS[0]]


async def test_task_does_not_join_a_run_that_a_former_leader_has_stopped(fleet):
    """Guards against two tasks of a spread step on one VM: a new leader does not see a run that is stopping (ROUTE)."""
    await start(fleet, TASKS[1])
    await end_in_state(fleet, TASKS[1])
    await fleet.poll()  # the run is listed, and told to stop
    fleet.change_leader()
    await fleet.poll()
    await check_that_the_next_task_waits(fleet)


async def test_task_does_not_join_a_run_whose_stop_arrived_after_its_lease_had_ended(fleet):
    """Guards against two tasks of a spread step on one VM that a late stop reached as the cut ended (ROUTE)."""
    await start(fleet, TASKS[1])
    await fleet.poll()
    worker, link = fleet.workers["vm-1"], fleet.links["vm-1"]
    worker.extend_lease(worker.clock_ms + 2 * RUN_LEASE_S * 1000)  # a longer one than the leader knows of
    fleet.network.fault = "delay"
    link.orders.request_stop(task=TASKS[1], run=1, reason="test")
    await fleet.poll(fault="delay")
    while fleet.list_committed("vm-1"):
        fleet.advance(0.5)
        await fleet.poll(fault="lose")
    assert fleet.count_by_step("vm-1") == {STEP: 1}
    fleet.network.deliver_delayed()
    await fleet.poll()
    await check_that_the_next_task_waits(fleet)


async def test_task_does_not_join_a_late_start_that_is_being_stopped(fleet):
    """Guards against two tasks of a spread step on one VM, one of which was started late and then stopped (ROUTE)."""
    await start(fleet, TASKS[1], fault="delay_first")
    await end_in_state(fleet, TASKS[1])
    fleet.workers["vm-1"].restart()
    fleet.network.deliver_delayed()
    await fleet.poll()  # shows the next boot, which is told to stop the run
    await fleet.leadership.propose(make_vm("vm-1", boot=2, sequence=1))
    await fleet.poll()
    await check_that_the_next_task_waits(fleet)


@pytest.mark.parametrize("version", [BOOT_FENCES_VERSION - 1, BOOT_FENCES_VERSION])
async def test_task_does_not_join_a_late_start_whose_stop_was_confirmed_a_moment_ago(fleet, version):
    """Guards against two tasks of a spread step on one VM after a stop of a late start that was never listed (ROUTE).

    From `BOOT_FENCES_VERSION` on, the VM does not carry out that start, since it has seen a higher token.
    """
    await start(fleet, TASKS[1], fault="delay_first")
    await end_in_state(fleet, TASKS[1])
    fleet.workers["vm-1"].restart()
    fleet.network.stop_fault = "lose"
    await fleet.poll()  # shows the next boot
    await fleet.leadership.propose(make_vm("vm-1", boot=2, sequence=1))
    fleet.advance(STOPPED_AFTER_S)
    await fleet.poll()
    fleet.advance(STOPPED_AFTER_S)
    fleet.network.deliver_delayed()
    fleet.network.stop_fault = None
    fleet.links["vm-1"].orders.stop_late_starts()
    await asyncio.gather(*fleet.links["vm-1"].orders.sending)
    if version < BOOT_FENCES_VERSION:
        await check_that_the_next_task_waits(fleet)
        return
    assert fleet.count_by_step("vm-1") == {}
    for _ in range(3):
        await fleet.run_round()
        assert fleet.count_by_step("vm-1")[STEP] <= 1
        fleet.advance(STOPPED_AFTER_S)
        await fleet.poll()
    assert fleet.list_committed("vm-1") == [TASKS[0]]


async def test_task_does_not_join_a_late_start_on_a_boot_that_nobody_has_heard_of(fleet):
    """Guards against two tasks of a spread step on the next boot of a VM, whose restart the leader has not noticed (ROUTE)."""
    worker = fleet.workers["vm-1"]
    await start(fleet, TASKS[1], fault="delay_first")
    await fleet.poll()
    worker.finish(TASKS[1], RunOutcome.FAILED)
    await fleet.poll()
    fleet.advance(0.3)
    worker.restart()
    fleet.network.deliver_delayed()
    await fleet.run_round()
    assert fleet.count_by_step("vm-1") == {STEP: 1}


async def test_task_starts_beside_an_unanswered_copy_once_the_vm_has_answered(fleet):
    """Guards against a step that waits for 13 s because the answer to one start was lost."""
    await start(fleet, TASKS[1], fault="delay_first")
    await fleet.poll()
    fleet.workers["vm-1"].finish(TASKS[1], RunOutcome.FAILED)
    await fleet.poll()
    await fleet.run_round()
    assert fleet.list_committed("vm-1") == [TASKS[0]]


async def test_vm_that_rejects_nothing_gets_no_task_beside_a_run_that_a_former_leader_has_stopped(fleet):
    """Guards against a VM over its capacity: a new leader does not see the room that a stopping run takes (LIMIT)."""
    await fleet.leadership.propose(PutDocument(document=make_document(version=2, guards_capacity=False)))
    await start(fleet, TASKS[1])
    await end_in_state(fleet, TASKS[1])
    await fleet.poll()  # the run is listed, and told to stop
    fleet.change_leader()
    await fleet.poll()
    link = fleet.links["vm-1"]
    link.announced_at = fleet.leadership.now
    assert fleet.dispatcher.list_free_capacity() == {}
    fleet.advance(STOPPED_AFTER_S)
    await fleet.poll()
    link.announced_at = fleet.leadership.now
    assert set(fleet.dispatcher.list_free_capacity()) == {"vans"}
