"""What is known of one boot of a VM must not stand for the next boot under the same ID."""

from __future__ import annotations

import asyncio

import pytest

from dispatch.conftest import LIMITS, make_link
from dispatch.model_fleet import ModelFleet
from hyssopway.dispatch import WorkerUnreachableError
from hyssopway.dispatch.leader_controller import LeaderController
from hyssopway.workflow import PutDocument, RunOutcome, Step
from workflow.conftest import make_document, make_vm, make_workflow

TASK = "w.0.0.0"
MAX_WAIT_S = 2.0


@pytest.fixture
async def controller(fleet, vms):
    built = LeaderController(leadership=fleet, calls=vms, machines=None, advisor=None, limits=LIMITS)
    built.links["vm-1"] = make_link("vm-1", leadership=fleet, calls=vms)
    built.tasks["vm-1"] = asyncio.create_task(asyncio.sleep(3600))  # polls are made by the tests
    leading = asyncio.create_task(built.run())
    yield built
    fleet.holds = False
    await leading


@pytest.fixture
async def model_fleet(leadership):
    leadership.begin_long_ago()
    await leadership.propose(PutDocument(document=make_document(max_attempts=9)))
    result = ModelFleet(leadership)
    await result.join("vm-1")
    await result.poll()
    await leadership.propose(make_workflow("w", steps=(Step(count=1, cpu_millis=200, estimate_ms=600),)))
    return result


async def wait_for(condition):
    async with asyncio.timeout(MAX_WAIT_S):
        while True:
            if condition():
                return
            await asyncio.sleep(0.005)


async def test_next_boot_of_a_draining_vm_is_open(controller, fleet):
    """Guards against a VM that gets no task until it leaves, since its boot before had announced its end (LOST)."""
    await fleet.propose(make_vm("vm-1", draining=True, sequence=1))
    await wait_for(lambda: controller.dispatcher.cordoned_vms == {"vm-1"})
    await fleet.propose(make_vm("vm-1", boot=2, sequence=1))
    await wait_for(lambda: not controller.dispatcher.cordoned_vms)
    assert controller.drainer.cordoned_at == {}


async def test_next_boot_stays_cordoned_for_its_machine(controller, fleet):
    """Guards against runs on a VM whose machine is to move or awaits its maintenance, after it drained and restarted."""
    controller.drainer.cordon("vm-1", reason="moves to pool other")
    await fleet.propose(make_vm("vm-1", draining=True, sequence=1))
    await asyncio.sleep(0.3)
    await fleet.propose(make_vm("vm-1", boot=2, sequence=1))
    await asyncio.sleep(0.3)
    assert controller.dispatcher.cordoned_vms == {"vm-1"}


async def test_run_that_the_next_boot_keeps_is_not_stalled_by_the_progress_of_the_boot_before(model_fleet):
    """Guards against stopping a run that has just begun on the next boot, since it shows what it showed before."""
    await model_fleet.run_round(fault="delay_first")
    worker, link = model_fleet.workers["vm-1"], model_fleet.links["vm-1"]
    for _ in range(3):
        await model_fleet.poll()
        model_fleet.advance(0.3)
    worker.restart()
    model_fleet.network.deliver_delayed()
    for _ in range(2):
        await model_fleet.poll()
        model_fleet.advance(0.3)
    await model_fleet.poll()
    assert (worker.working(), link.orders.is_stop_requested(f"{TASK}/1")) == ({TASK: 1}, False)


async def test_stalled_run_does_not_close_the_next_boot(model_fleet):
    """Guards against a VM that gets no task because a run of its boot before made no progress."""
    await model_fleet.run_round()
    link = model_fleet.links["vm-1"]
    while link.orders.paused_until < model_fleet.leadership.now:
        await model_fleet.poll()
        model_fleet.advance(0.3)
    model_fleet.workers["vm-1"].restart()
    for _ in range(2):
        await model_fleet.poll()
    assert link.orders.paused_until < model_fleet.leadership.now


async def test_failures_of_a_boot_do_not_count_against_the_next_one(model_fleet):
    """Guards against a VM that is avoided because of runs that failed before it restarted."""
    await model_fleet.run_round()
    model_fleet.workers["vm-1"].finish(TASK, RunOutcome.FAILED)
    await model_fleet.poll()
    link = model_fleet.links["vm-1"]
    assert link.failures == 1
    model_fleet.workers["vm-1"].restart()
    for _ in range(2):
        await model_fleet.poll()
    assert link.failures == 0


async def test_order_to_a_boot_that_has_ended_does_not_count_against_the_next_one(model_fleet, monkeypatch):
    """Guards against a VM that is avoided because orders to its boot before got no answer as it restarted."""
    link = model_fleet.links["vm-1"]

    async def lose_with_a_restart(**_):
        await link.boots.replace(make_vm("vm-1", boot=2, sequence=1), replaced_boot=1)
        raise WorkerUnreachableError("no answer")

    monkeypatch.setattr(model_fleet.network, "start", lose_with_a_restart)
    await model_fleet.run_round()
    assert "vm-1" not in link.ratings.vms
