"""VMs that left, and reports of them that arrive late at another leader."""

from __future__ import annotations

import asyncio

import pytest

from dispatch.conftest import LIMITS
from hyssopway.dispatch import LeaderController
from hyssopway.dispatch.vm_link import REMOVE_AFTER_S
from workflow.conftest import make_vm


@pytest.fixture
async def controller(fleet, vms):
    """A leader that has just taken over, of VMs that do not answer; it knows no report of before."""
    vms.silent = True
    built = LeaderController(leadership=fleet, calls=vms, machines=None, advisor=None, limits=LIMITS)
    yield built
    for task in built.tasks.values():
        task.cancel()
    await asyncio.gather(*built.tasks.values(), return_exceptions=True)


async def test_late_report_of_a_vm_that_left_brings_it_no_work(controller, fleet, vms):
    """Guards against a server that left and is in use again after a change of leader.

    Reports that a partition held up arrive after the departure. The leader cannot know their age, so the VM is known
    again, but it gets no start before it answers under its identity, and it is forgotten when it stays silent.
    """
    await controller.handle_departure(vm="vm-1")
    assert "vm-1" not in fleet.state.tables.vms
    await controller.handle_announcement(make_vm("vm-1"))
    link = controller.links["vm-1"]
    await link.poll()
    assert controller.dispatcher.list_free_capacity() == {}
    await controller.dispatcher.run_round()
    assert vms.orders == []
    fleet.now += REMOVE_AFTER_S + 1.0
    await controller._forget_silent()
    assert "vm-1" not in fleet.state.tables.vms


async def test_late_report_of_an_earlier_boot_changes_nothing(controller, fleet):
    """Guards against an address and a pool of a life that has ended."""
    await controller.handle_announcement(make_vm("vm-1", boot=5))
    await controller.handle_announcement(make_vm("vm-1", boot=4, draining=True))
    record = fleet.state.tables.vms["vm-1"]
    assert (record.boot, record.draining) == (5, False)


async def test_late_report_does_not_end_a_drain(controller, fleet):
    """Guards against new work on a VM that said it leaves, because an older report overtook that word."""
    await controller.handle_announcement(make_vm("vm-1", draining=True))
    await controller.handle_announcement(make_vm("vm-1", draining=False))
    assert fleet.state.tables.vms["vm-1"].draining
    assert controller.dispatcher.list_free_capacity() == {}
