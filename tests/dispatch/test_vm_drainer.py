"""Drains of VMs with long-running tasks."""

from __future__ import annotations

import asyncio

import pytest

from dispatch.conftest import make_link
from hyssopway.dispatch.dispatcher import Dispatcher
from hyssopway.dispatch.vm_drainer import VmDrainer
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
