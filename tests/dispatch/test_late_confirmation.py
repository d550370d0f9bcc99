"""Commands that are confirmed later than their control loop waits for them, in the same term."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from dispatch.conftest import LIMITS, make_link
from hyssopway.dispatch.leader_controller import LeaderController
from hyssopway.dispatch.vm_link import REMOVE_AFTER_S, VmLink
from hyssopway.workflow import PutDocument, StartRuns, Step
from workflow.conftest import make_document, make_vm, make_workflow

# Several intervals at which ended control loops are started again.
RESTART_S = 0.5
MAX_WAIT_S = 5.0


class Fleet:
    """A leader whose control loops run; the test polls its VMs.

    Attributes:
        leadership: Term of the leader.
        controller: Control loops of the leader.
        vms: Fake VMs.
        leading: Task in which the control loops run.
    """

    def __init__(self, leadership, vms):
        self.leadership = leadership
        self.vms = vms
        self.controller = LeaderController(
            leadership=leadership, calls=vms, machines=None, advisor=None, limits=LIMITS
        )
        self.leading = asyncio.create_task(self.controller.run())

    async def join(self, name, *, cores):
        self.leadership.apply(make_vm(name, cores=cores))
        link = make_link(name, leadership=self.leadership, calls=self.vms)
        self.controller.links[name] = link
        self.controller.tasks[name] = asyncio.create_task(asyncio.sleep(60))
        await link.poll()

    def count_runs(self):
        return Counter(run.vm for runs in self.leadership.state.tables.runs.values() for run in runs)


async def wait_for(condition):
    async with asyncio.timeout(MAX_WAIT_S):
        while True:
            if condition():
                return
            await asyncio.sleep(0.005)


@pytest.fixture
async def late_fleet(leadership, vms):
    leadership.begin_long_ago()
    leadership.apply(PutDocument(document=make_document()))
    fleet = Fleet(leadership, vms)
    yield fleet
    leadership.holds = False
    await fleet.leading


async def test_dispatcher_does_not_place_while_its_own_starts_may_still_be_committed(late_fleet):
    """Guards against two tasks of a spread step on one VM, placed by one leader before and after a late commit (ROUTE)."""
    leadership = late_fleet.leadership
    await late_fleet.join("vm-1", cores=8)
    leadership.confirms = False
    leadership.apply(make_workflow("spread", steps=(Step(count=2, cpu_millis=1000, spread_limit=1),)))
    await wait_for(lambda: leadership.unconfirmed)
    await late_fleet.join("vm-2", cores=4)  # the next round would prefer it
    await asyncio.sleep(RESTART_S)
    proposed = [command for command in leadership.unconfirmed if isinstance(command, StartRuns)]
    leadership.apply_unconfirmed()
    await wait_for(lambda: late_fleet.count_runs().total() == 2)
    assert late_fleet.count_runs() == {"vm-1": 1, "vm-2": 1}
    assert len(proposed) == 1


async def test_links_do_not_wait_for_commands_that_may_still_be_committed(late_fleet, monkeypatch):
    """Guards against leases that are not renewed, so that runs lapse, for as long as a commit is late (LOST)."""
    started = asyncio.Event()

    async def run(_):
        started.set()
        await asyncio.sleep(60)

    monkeypatch.setattr(VmLink, "run", run)
    late_fleet.leadership.confirms = False
    late_fleet.leadership.unconfirmed.append(make_workflow("late"))
    late_fleet.leadership.apply(make_vm("vm-1", cores=8))
    async with asyncio.timeout(MAX_WAIT_S):
        await started.wait()


async def test_unconfirmed_command_of_the_supervision_does_not_end_the_controller(late_fleet):
    """Guards against a second controller in one term that does not know which orders of the first got no answer (TWICE)."""
    leadership = late_fleet.leadership
    await late_fleet.join("vm-1", cores=8)
    leadership.confirms = False
    leadership.now += REMOVE_AFTER_S + LIMITS.longest_lease_s
    await wait_for(lambda: leadership.unconfirmed)
    await asyncio.sleep(RESTART_S)
    assert not late_fleet.leading.done()
    assert len(leadership.unconfirmed) == 1
    leadership.apply_unconfirmed()
    await wait_for(lambda: not late_fleet.controller.links)
    assert not late_fleet.leading.done()


async def test_links_are_started_again_while_a_removal_may_still_be_committed(late_fleet, monkeypatch):
    """Guards against a supervision that waits for its own late command while links end, so that leases run out (LOST)."""
    started = asyncio.Event()

    async def run(_):
        started.set()

    leadership = late_fleet.leadership
    await late_fleet.join("vm-1", cores=8)
    leadership.confirms = False
    leadership.now += REMOVE_AFTER_S + LIMITS.longest_lease_s
    await wait_for(lambda: leadership.unconfirmed)
    monkeypatch.setattr(VmLink, "run", run)
    late_fleet.controller.tasks["vm-1"].cancel()
    async with asyncio.timeout(MAX_WAIT_S):
        await started.wait()
