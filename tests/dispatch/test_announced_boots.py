"""Announcements of a boot that is not the one that answers."""

from __future__ import annotations

import asyncio
import dataclasses
from unittest.mock import AsyncMock

import pytest

from dispatch.conftest import LIMITS, make_link
from hyssopway.dispatch import OrderReply
from hyssopway.dispatch.leader_controller import LeaderController
from hyssopway.workflow import RunStart, StartRuns
from workflow.conftest import make_vm


@pytest.fixture
async def controller(fleet, vms):
    built = LeaderController(leadership=fleet, calls=vms, machines=None, advisor=None, limits=LIMITS)
    built.links["vm-1"] = make_link("vm-1", leadership=fleet, calls=vms)
    await built.links["vm-1"].poll()
    built.tasks["vm-1"] = asyncio.create_task(asyncio.sleep(3600))  # polls are made by the tests
    yield built
    for task in built.tasks.values():
        task.cancel()
    await asyncio.gather(*built.tasks.values(), return_exceptions=True)


async def wait_for_ever(**_):
    await asyncio.sleep(3600)


async def test_runs_of_a_vm_that_answers_are_not_lost_to_an_announced_boot(controller, fleet, vms):
    """Guards against starting tasks again that still run, because another writer announced a later boot of their VM."""
    start = RunStart(task="w.0.0.0", run=1, vm="vm-1")
    await fleet.propose(StartRuns(fencing_token=3, starts=(start,)))
    vms.running["w.0.0.0", 1] = "vm-1"
    await controller.links["vm-1"].poll()
    await controller.handle_announcement(make_vm("vm-1", boot=9))
    assert fleet.state.tables.vms["vm-1"].runs == {"w.0.0.0/1"}
    fleet.now += 2.0
    await controller.handle_announcement(make_vm("vm-1", boot=9))
    assert (fleet.state.tables.vms["vm-1"].boot, fleet.state.tables.runs) == (9, {})


async def test_run_in_doubt_is_kept_by_a_boot_that_is_announced_before_the_leader_has_a_link(fleet, vms):
    """Guards against a second run of a task that the next boot works on, right after a change of leader (TWICE)."""
    start = RunStart(task="w.0.0.0", run=1, vm="vm-1")
    await fleet.propose(StartRuns(fencing_token=2, starts=(start,)))
    controller = LeaderController(leadership=fleet, calls=vms, machines=None, advisor=None, limits=LIMITS)
    vms.poll = wait_for_ever
    await controller.handle_announcement(make_vm("vm-1", boot=2, sequence=1))
    await asyncio.sleep(0)  # the link begins to poll
    for task in controller.tasks.values():
        task.cancel()
    await asyncio.gather(*controller.tasks.values(), return_exceptions=True)
    assert fleet.state.tables.vms["vm-1"].boot == 2
    assert fleet.state.tables.vms["vm-1"].runs == {"w.0.0.0/1"}


async def test_boot_that_answers_replaces_one_of_the_future(fleet, vms):
    """Guards against a VM that is never used again, and polled without a pause, after a boot of the future was announced."""
    await fleet.propose(dataclasses.replace(make_vm("vm-1"), boot=99))
    link = make_link("vm-1", leadership=fleet, calls=vms)
    vms.boot = 1
    await link.poll()
    assert fleet.state.tables.vms["vm-1"].boot == 1


@pytest.mark.parametrize("sign", ["announcement", "answer to an order"])
async def test_next_boot_is_committed_while_a_poll_of_the_boot_before_waits(controller, fleet, vms, sign):
    """Guards against a leader that ends before it has committed a restart of which it knew, so that the next one waits too little (TWICE)."""
    link, answer = controller.links["vm-1"], vms.poll
    is_hanging = asyncio.Event()

    async def hang(**_):
        vms.poll = answer
        is_hanging.set()
        await asyncio.sleep(3600)

    vms.poll = hang
    polling = asyncio.create_task(link.poll())
    await is_hanging.wait()
    vms.boot = 2
    if sign == "announcement":
        await controller.handle_announcement(make_vm("vm-1", boot=2))
    else:
        vms.stop = AsyncMock(return_value=OrderReply(clock_ms=5))
        link.orders.request_stop(task="w.0.0.0", run=1, reason="test")
    while link.orders.sending:
        await asyncio.gather(*link.orders.sending)
    assert fleet.state.tables.vms["vm-1"].boot == 2
    polling.cancel()
    await asyncio.gather(polling, return_exceptions=True)


async def test_announced_boot_that_does_not_answer_replaces_nothing(controller, fleet, vms):
    """Guards against runs that end as lost because another writer announced a later boot of a VM that answers."""
    link = controller.links["vm-1"]
    await controller.handle_announcement(make_vm("vm-1", boot=9))
    await asyncio.gather(*link.orders.sending)
    assert fleet.state.tables.vms["vm-1"].boot == 1
