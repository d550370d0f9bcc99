"""What is known of one boot of a VM must not stand for the next boot under the same ID."""

from __future__ import annotations

import asyncio

import pytest

from dispatch.conftest import LIMITS, make_link
from hyssopway.dispatch.leader_controller import LeaderController
from workflow.conftest import make_vm

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
