"""Machines that follow the demand of the pools."""

from __future__ import annotations

import asyncio

import pytest

from dispatch.conftest import LIMITS, make_link
from hyssopway.dispatch import Machine, MachineOrderResult, MachineState
from hyssopway.dispatch.dispatcher import Dispatcher
from hyssopway.dispatch.duration_scale import DurationScale
from hyssopway.dispatch.machine_inventory import MachineInventory
from hyssopway.dispatch.order_rate_limiter import KEEP_S, RATE_SHARE
from hyssopway.dispatch.pool_load import measure_pools
from hyssopway.dispatch.pool_rebalancer import PoolRebalancer
from hyssopway.dispatch.vm_drainer import VmDrainer
from workflow.conftest import make_vm

VMS = ("vm-1", "vm-2")
SPARE = tuple(f"m{number}" for number in range(3, 12))
ORDER_S = 0.02


class FakePlatform:
    """Lists two machines of a pool and some that wait in the standby pool.

    Attributes:
        moves: Orders in the order of their arrival.
        at_once: Most orders that were in progress at the same time.
    """

    def __init__(self):
        self.moves = []
        self.in_progress = 0
        self.at_once = 0

    async def list_machines(self):
        busy = [
            Machine(machine_id=f"m{n}", pool="vans", state=MachineState.UP, zone="nashua", vm_id=f"vm-{n}")
            for n in (1, 2)
        ]
        spare = [
            Machine(machine_id=name, pool="spare", state=MachineState.UP, zone="nashua", vm_id="")
            for name in SPARE
        ]
        return busy + spare

    async def order_move(self, *, machine_id, pool, fencing_token, may_send):
        self.moves.append((machine_id, pool))
        self.in_progress += 1
        self.at_once = max(self.at_once, self.in_progress)
        await asyncio.sleep(ORDER_S)
        self.in_progress -= 1
        return MachineOrderResult.DONE


@pytest.fixture
def platform():
    return FakePlatform()


@pytest.fixture
async def rebalancer(fleet, vms, platform):
    await fleet.propose(make_vm("vm-2"))
    links = {}
    for name in VMS:
        links[name] = make_link(name, leadership=fleet, calls=vms)
        await links[name].poll()
    drainer = VmDrainer(leadership=fleet, links=links, dispatcher=Dispatcher(leadership=fleet, links=links))
    machines = MachineInventory(
        leadership=fleet, calls=platform, machine_lease_s=LIMITS.machine_lease_s, min_down_s=LIMITS.move_s
    )
    await machines.refresh(max_age_s=1.0)
    return PoolRebalancer(
        leadership=fleet,
        calls=platform,
        machines=machines,
        drainer=drainer,
        scale=DurationScale(),
        move_s=LIMITS.move_s,
        orders_per_s=LIMITS.machine_orders_per_s,
    )


async def step(rebalancer, *, waiting_millis=0):
    loads = measure_pools(
        tables=rebalancer.leadership.state.tables,
        waiting_millis={"vans": waiting_millis} if waiting_millis else {},
    )
    await rebalancer.rebalance("spare", loads=loads)


async def test_pool_keeps_two_vms(rebalancer, platform):
    """Guards against machines ordered for a pool that has what it needs."""
    await step(rebalancer)
    assert platform.moves == []


async def test_vm_that_is_emptied_is_replaced(rebalancer, platform):
    """Guards against tasks that find no VM while a maintenance wave empties one of two.

    An emptied VM gets no starts and may have to keep long-running tasks until others are at work elsewhere.
    """
    rebalancer.drainer.cordon("vm-1", reason="wave 1")
    await step(rebalancer)
    assert [pool for _, pool in platform.moves] == ["vans"]


async def test_machines_of_a_turn_are_ordered_together(rebalancer, platform):
    """Guards against a pool that waits for its machines while orders follow each other one by one."""
    await step(rebalancer, waiting_millis=8 * 8000)
    assert platform.at_once == len(platform.moves) == int(LIMITS.machine_orders_per_s * RATE_SHARE * KEEP_S)
