"""Drains of VMs with long-running tasks."""

from __future__ import annotations

import asyncio

import pytest

from dispatch.conftest import LIMITS, FakeVms, make_link
from hyssopway.dispatch.dispatcher import Dispatcher
from hyssopway.dispatch.lease import RUN_LEASE_S
from hyssopway.dispatch.vm_drainer import VmDrainer
from hyssopway.dispatch.vm_link import CONTACT_TIMEOUT_S, STOP_SLACK_S
from hyssopway.workflow import RunStart, StartRuns, Step
from workflow.conftest import make_vm, make_workflow


@pytest.fixture
async def drainer(fleet, vms):
    await fleet.propose(make_vm("vm-2"))
    step = Step(count=2, long_running=True, disruption_allowance=1)
    await fleet.propose(make_workflow("steady", steps=(step,)))
    links = {name: make_link(name, leadership=fleet, calls=vms) for name in ("vm-1", "vm-2")}
    starts = tuple(RunStart(task=f"steady.0.0.{n}", run=1, vm=f"vm-{n + 1}") for n in range(2))
    await fleet.propose(StartRuns(fencing_token=fleet.term, starts=starts))
    vms.running = {(start.task, 1): start.vm for start in starts}
    for link in links.values():
        await link.poll()
    dispatcher = Dispatcher(leadership=fleet, links=links)
    return VmDrainer(leadership=fleet, links=links, dispatcher=dispatcher)


async def test_one_task_of_a_step_is_interrupted_at_a_time(drainer, vms):
    """Guards against a second interruption because of a list of runs that is older than the first stop."""
    for name in ("vm-1", "vm-2"):
        drainer.cordon(name, reason="test")
    for _ in range(3):
        drainer.evict_runs()
        await asyncio.sleep(0)
        for link in drainer.links.values():
            await link.poll()  # the VMs still list both tasks as running
    assert {task for order, task, _ in vms.orders if order == "stop"} == {"steady.0.0.0"}


async def test_uncordoned_vm_may_get_starts_again(drainer):
    """Guards against a VM that stays cordoned after the order for its machine was refused."""
    drainer.cordon("vm-1", reason="test")
    assert drainer.dispatcher.cordoned_vms == {"vm-1"}
    drainer.uncordon("vm-1")
    assert not drainer.dispatcher.cordoned_vms


async def poll_and_evict(drainer, vms):
    for link in drainer.links.values():
        await link.poll()
    drainer.evict_runs()
    await asyncio.sleep(0)
    return {task for order, task, _ in vms.orders if order == "stop"}


async def test_new_leader_allows_for_stops_of_the_former_one(drainer, fleet, vms):
    """Guards against a second interruption by a new leader that does not know a stop ordered a moment ago.

    A VM may list a run as working until it carries the stop out. The new leader waits for the longest duration of a
    stop after the VM has acknowledged its token, and the drain goes on afterwards.
    """
    fleet.term += 1
    links = {name: make_link(name, leadership=fleet, calls=vms) for name in drainer.links}
    new_drainer = VmDrainer(
        leadership=fleet, links=links, dispatcher=Dispatcher(leadership=fleet, links=links)
    )
    new_drainer.cordon("vm-1", reason="test")
    assert await poll_and_evict(new_drainer, vms) == set()
    fleet.now += LIMITS.stop_s
    assert await poll_and_evict(new_drainer, vms) == set()
    fleet.now += STOP_SLACK_S + 0.01
    assert await poll_and_evict(new_drainer, vms) == {"steady.0.0.0"}


async def test_held_vm_gets_no_runs_until_its_time_is_over(drainer, fleet):
    """Guards against runs on a VM that an order without an answer may still end, and against a hold that never ends."""
    drainer.hold("vm-1", seconds=3.0)
    drainer.cordon("vm-1", reason="test")
    drainer.uncordon("vm-1")
    drainer.evict_runs()
    assert drainer.dispatcher.cordoned_vms == {"vm-1"}
    fleet.now += 3.0
    drainer.evict_runs()
    assert not drainer.dispatcher.cordoned_vms


async def test_vm_is_not_empty_while_a_start_is_being_committed(drainer, fleet, vms):
    """Guards against an order for a machine whose VM gets a run at the same moment."""
    await fleet.propose(make_vm("vm-3"))
    link = drainer.links["vm-3"] = make_link("vm-3", leadership=fleet, calls=vms)
    assert drainer.is_empty("vm-3")
    link.orders.expect_start(task="steady.0.0.1", run=2)
    assert not drainer.is_empty("vm-3")
    assert drainer.has_long_running("vm-3")
    link.orders.drop_start(task="steady.0.0.1", run=2)
    assert drainer.is_empty("vm-3")


async def test_task_whose_lease_ends_counts_as_away_until_its_next_run_works(drainer, fleet, vms):
    """Guards against a stop while another task of the step has lost its cordoned VM and has not come to work again."""
    drainer.cordon("vm-1", reason="test")
    drainer.cordon("vm-2", reason="test")
    drainer.links["vm-1"].calls = silent = FakeVms(fleet)
    silent.silent = True
    fleet.now += CONTACT_TIMEOUT_S + 0.1
    assert "steady.0.0.1" not in await poll_and_evict(drainer, vms)
    fleet.now += 2 * RUN_LEASE_S
    assert "steady.0.0.1" not in await poll_and_evict(drainer, vms)
    assert "steady.0.0.0" not in fleet.state.tables.runs
    await fleet.propose(make_vm("vm-3"))
    drainer.links["vm-3"] = make_link("vm-3", leadership=fleet, calls=vms)
    await drainer.links["vm-3"].poll()
    drainer.links["vm-3"].orders.expect_start(task="steady.0.0.0", run=2)
    start = RunStart(task="steady.0.0.0", run=2, vm="vm-3")
    await fleet.propose(StartRuns(fencing_token=fleet.term, starts=(start,)))
    vms.running.pop(("steady.0.0.0", 1))
    assert "steady.0.0.1" not in await poll_and_evict(drainer, vms)
    vms.running["steady.0.0.0", 2] = "vm-3"
    assert "steady.0.0.1" in await poll_and_evict(drainer, vms)
