"""Announcements of a boot that is not the one that answers."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from dispatch.conftest import LIMITS, make_link
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
    await controller.handle_announcement(make_vm("vm-1", boot=2, sequence=1))
    for task in controller.tasks.values():
        task.cancel()
    assert fleet.state.tables.vms["vm-1"].boot == 2
    assert fleet.state.tables.vms["vm-1"].runs == {"w.0.0.0/1"}


async def test_boot_that_answers_replaces_one_of_the_future(fleet, vms):
    """Guards against a VM that is never used again, and polled without a pause, after a boot of the future was announced."""
    await fleet.propose(dataclasses.replace(make_vm("vm-1"), boot=99))
    link = make_link("vm-1", leadership=fleet, calls=vms)
    vms.boot = 1
    await link.poll()
    assert fleet.state.tables.vms["vm-1"].boot == 1
