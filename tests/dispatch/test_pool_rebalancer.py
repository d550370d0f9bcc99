"""Moves of machines between pools according to demand."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from dispatch.conftest import LIMITS, make_link
from hyssopway.clock import wall_ms
from hyssopway.dispatch import Machine, MachineCallError, MachineOrderResult, MachineState
from hyssopway.dispatch.dispatcher import Dispatcher
from hyssopway.dispatch.duration_scale import DurationScale
from hyssopway.dispatch.machine_inventory import MachineInventory
from hyssopway.dispatch.order_rate_limiter import BURST_S, RATE_SHARE
from hyssopway.dispatch.pool_load import measure_pools
from hyssopway.dispatch.pool_plan import MachineMove
from hyssopway.dispatch.pool_rebalancer import JOIN_TIMEOUT_S, PoolRebalancer
from hyssopway.dispatch.vm_drainer import VmDrainer
from hyssopway.workflow import Capacity, RemoveVm, RunStart, StartRuns, Step
from workflow.conftest import make_vm, make_workflow

VM_IDS = ("vm-1", "vm-2")
STANDBY_MACHINES = tuple(f"m{number}" for number in range(3, 12))
ORDER_S = 0.02


class FakePlatform:
    """Lists two machines of a pool and nine in the standby pool.

    Attributes:
        moves: Machine and target pool of each move order, in the order of arrival.
        in_progress: Number of move orders in progress.
        max_concurrent: Largest number of move orders that were in progress at the same time.
    """

    def __init__(self):
        self.moves = []
        self.in_progress = 0
        self.max_concurrent = 0
        self.loses_answers = False

    async def list_machines(self):
        busy = [
            Machine(machine_id=f"m{n}", pool="vans", state=MachineState.UP, zone="nashua", vm_id=f"vm-{n}")
            for n in (1, 2)
        ]
        spare = [
            Machine(machine_id=name, pool="spare", state=MachineState.UP, zone="nashua", vm_id="")
            for name in STANDBY_MACHINES
        ]
        return busy + spare

    async def order_move(self, *, machine_id, pool, fencing_token, may_send):
        self.moves.append((machine_id, pool))
        self.in_progress += 1
        self.max_concurrent = max(self.max_concurrent, self.in_progress)
        await asyncio.sleep(ORDER_S)
        self.in_progress -= 1
        if self.loses_answers:
            raise MachineCallError("no answer")
        return MachineOrderResult.DONE


@pytest.fixture
def platform():
    return FakePlatform()


@pytest.fixture
async def rebalancer(fleet, vms, platform):
    await fleet.propose(make_vm("vm-2"))
    links = {}
    for name in VM_IDS:
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


async def rebalance(rebalancer, *, waiting_millis=0):
    loads = measure_pools(
        tables=rebalancer.leadership.state.tables,
        waiting_millis={"vans": waiting_millis} if waiting_millis else {},
    )
    await rebalancer.rebalance("spare", loads=loads)


async def test_idle_pool_with_two_vms_orders_no_moves(rebalancer, platform):
    """Guards against orders for a pool that has the VMs that it needs."""
    await rebalance(rebalancer)
    assert platform.moves == []


async def test_cordoned_vm_is_replaced(rebalancer, platform):
    """Guards against tasks that find no VM while a maintenance wave drains one of two.

    A cordoned VM gets no starts, and may have to keep long-running tasks until others of the step run elsewhere.
    """
    rebalancer.drainer.cordon("vm-1", reason="wave 1")
    await rebalance(rebalancer)
    assert [pool for _, pool in platform.moves] == ["vans"]


async def test_vms_without_capacity_do_not_stop_the_moves(rebalancer, platform, fleet):
    """Guards against reports of VMs with a capacity of 0 that end each round of the rebalancer with an error."""
    for number in range(3, 9):
        await fleet.propose(dataclasses.replace(make_vm(f"vm-{number}"), capacity=Capacity()))
    await rebalance(rebalancer, waiting_millis=8 * 8000)
    assert platform.moves


async def test_moves_for_a_load_peak_are_ordered_concurrently(rebalancer, platform):
    """Guards against a pool that gets its machines late because their moves are ordered one after another."""
    await rebalance(rebalancer, waiting_millis=8 * 8000)
    assert (
        platform.max_concurrent
        == len(platform.moves)
        == int(LIMITS.machine_orders_per_s * RATE_SHARE * BURST_S)
    )


async def test_machines_are_ordered_and_counted_once_before_an_expected_burst(rebalancer, platform, fleet):
    """Guards against an expected burst for which no machine is ordered, or which is logged at each plan."""
    steps = (Step(count=4, cpu_millis=1000, estimate_ms=1000),)
    for begin_ms in (-47_000, -31_000, -15_000):
        for number in range(160):
            accept = make_workflow(f"w{begin_ms}.{number}", steps=steps)
            await fleet.propose(dataclasses.replace(accept, at_ms=wall_ms() + begin_ms + 25 * number))
    for _ in range(2):
        await rebalance(rebalancer)
    assert {pool for _, pool in platform.moves} == {"vans"}
    assert rebalancer.counters["bursts_expected"] == 1
    assert rebalancer.counters["bursts_missed"] == 0


MOVE = MachineMove(machine_id="m1", source="vans", target="spare")


def list_usable_vms(rebalancer):
    free_by_pool = rebalancer.drainer.dispatcher.list_free_capacity()
    return {vm.vm_id for vms in free_by_pool.values() for vm in vms}


async def test_vm_gets_no_runs_while_a_move_without_an_answer_may_be_carried_out(rebalancer, platform, fleet):
    """Guards against a move that ends a long-running task which was placed after the answer was lost."""
    platform.loses_answers = True
    await rebalancer._move(MOVE)
    assert list_usable_vms(rebalancer) == {"vm-2"}
    fleet.now += LIMITS.machine_lease_s
    rebalancer.drainer.evict_runs()
    for link in rebalancer.drainer.links.values():
        await link.poll()
    assert list_usable_vms(rebalancer) == set(VM_IDS)


async def test_moved_vm_gets_no_runs_before_its_record_is_removed(rebalancer, fleet):
    """Guards against runs on a VM that the platform has just ended."""
    propose = fleet.propose
    usable = []

    async def observe(command):
        usable.append(list_usable_vms(rebalancer))
        await propose(command)

    fleet.propose = observe
    await rebalancer._move(MOVE)
    assert usable == [{"vm-2"}]


async def test_vm_with_a_start_in_progress_is_not_moved(rebalancer, platform):
    """Guards against a move of a machine whose VM gets a run at the same moment."""
    rebalancer.drainer.links["vm-1"].orders.expect_start(task="w.0.0.0", run=1)
    await rebalancer._move(MOVE)
    assert platform.moves == []
    assert "vm-1" not in rebalancer.drainer.dispatcher.cordoned_vms


async def test_machine_whose_vm_has_left_is_not_moved(rebalancer, platform, fleet):
    """Guards against a move that ends the runs of a VM that has taken the place of the listed one."""
    await rebalance(rebalancer)
    await fleet.propose(RemoveVm(vm="vm-1", boot=1, at_ms=0))
    await rebalancer._move(MOVE)
    assert platform.moves == []


async def test_vm_that_a_wave_drains_is_left_to_the_wave(rebalancer, platform):
    """Guards against a VM that gets runs again while its maintenance is being ordered."""
    rebalancer.drainer.cordon("vm-1", reason="wave 1")
    await rebalancer._move(MOVE)
    assert platform.moves == []
    assert "vm-1" in rebalancer.drainer.dispatcher.cordoned_vms


async def test_vm_gets_runs_again_when_its_move_may_not_be_ordered(rebalancer, platform, fleet):
    """Guards against a VM that stays cordoned although its machine was not ordered to move."""
    fleet.is_confirmed = False
    await rebalancer._move(MOVE)
    assert platform.moves == []
    assert "vm-1" not in rebalancer.drainer.dispatcher.cordoned_vms


async def test_machines_that_may_join_a_pool_are_listed(rebalancer, fleet, platform):
    """Guards against refusals of jobs for which idle machines could be moved, or against counting busy ones."""
    now_ms = wall_ms()
    times = rebalancer.list_arrivals_ms("vans")
    assert len(times) == len(STANDBY_MACHINES)
    assert min(times) >= now_ms + LIMITS.move_s * 1000
    # Orders are sent at a limited rate.
    assert max(times) - min(times) >= 1000 * (len(times) - 1) / LIMITS.machine_orders_per_s
    rebalancer.incoming["m3"] = ("vans", fleet.now + JOIN_TIMEOUT_S + 0.2)
    assert min(rebalancer.list_arrivals_ms("vans")) <= wall_ms() + 200
    assert len(rebalancer.list_arrivals_ms("trucks")) == len(STANDBY_MACHINES) + len(VM_IDS)
    start = RunStart(task="w.0.0.0", run=1, vm="vm-1")
    await fleet.propose(StartRuns(fencing_token=3, starts=(start,)))
    assert len(rebalancer.list_arrivals_ms("trucks")) == len(STANDBY_MACHINES) + 1


async def test_pool_that_only_a_vm_names_gets_no_machines(rebalancer, platform, fleet):
    """Guards against machines for a pool that exists nowhere but in one odd report."""
    await fleet.propose(dataclasses.replace(make_vm("vm-9"), pool="ghosts"))
    await rebalance(rebalancer)
    assert platform.moves == []
