"""The spread limit of a step, as a round sees it: starts of the round itself, and runs that only the VM still has."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace

import pytest

from dispatch.conftest import FakeVms, make_link
from hyssopway.dispatch import WorkerUnreachableError
from hyssopway.dispatch.dispatcher import Dispatcher
from hyssopway.dispatch.listed_end import ListedEnd
from hyssopway.dispatch.vm_link import CONTACT_TIMEOUT_S
from hyssopway.scheduling.durations import MIN_RUNS
from hyssopway.workflow import EndRuns, PutDocument, RunEnd, RunOutcome, Step
from workflow.conftest import PLANS_ID, make_document, make_vm, make_workflow

USUAL_MS = 600
# Long enough after the start for a run that is 20% done to count as slow.
SLOW_AFTER_S = 0.8


class SlowVms(FakeVms):
    """Fake VMs whose runs are 20% done.

    Attributes:
        silent_vms: IDs of the VMs that answer nothing.
    """

    def __init__(self, leadership):
        super().__init__(leadership)
        self.silent_vms = set()

    async def poll(self, *, vm, **arguments):
        if vm.vm_id in self.silent_vms:
            raise WorkerUnreachableError("silent")
        reply = await super().poll(vm=vm, **arguments)
        return replace(reply, running=tuple(row._replace(percent=20) for row in reply.running))


class Fleet:
    """A leader with one VM, which others may join.

    Attributes:
        leadership: Term of the leader.
        vms: Fake VMs.
        links: Links to the VMs.
        dispatcher: Dispatcher of the leader.
    """

    def __init__(self, leadership):
        self.leadership = leadership
        self.vms = SlowVms(leadership)
        self.links = {}
        self.dispatcher = Dispatcher(leadership=leadership, links=self.links)
        for _ in range(MIN_RUNS):
            self.dispatcher.durations.add(PLANS_ID, declared_ms=USUAL_MS, actual_ms=USUAL_MS)

    async def join(self, name, *, rack):
        await self.leadership.propose(make_vm(name, rack=rack))
        self.links[name] = make_link(name, leadership=self.leadership, calls=self.vms)

    async def poll(self):
        for link in self.links.values():
            await link.poll()

    async def run_round(self):
        await self.dispatcher.run_round()
        await asyncio.gather(*self.dispatcher.sending)

    def count_runs(self):
        """Returns the number of runs in progress on each VM."""
        return Counter(run.vm for runs in self.leadership.state.tables.runs.values() for run in runs)


@pytest.fixture
async def spread_fleet(leadership):
    leadership.begin_long_ago()
    await leadership.propose(PutDocument(document=make_document()))
    result = Fleet(leadership)
    await result.join("vm-1", rack="r1")
    await result.poll()
    return result


@pytest.mark.parametrize("joining", [("vm-2",), ("vm-2", "vm-3")], ids=["no room for the copy", "room"])
async def test_copy_does_not_join_a_task_that_its_own_round_has_placed(spread_fleet, joining):
    """Guards against two tasks of a spread step on one VM, one of them a copy placed after the waiting tasks (ROUTE)."""
    step = Step(count=2, cpu_millis=200, estimate_ms=USUAL_MS, spread_limit=1, duplicates=True)
    await spread_fleet.leadership.propose(make_workflow("spread", steps=(step,)))
    await spread_fleet.run_round()
    assert spread_fleet.count_runs() == {"vm-1": 1}
    for name in joining:
        await spread_fleet.join(name, rack=f"rack of {name}")
    await spread_fleet.poll()
    spread_fleet.leadership.now += SLOW_AFTER_S
    await spread_fleet.poll()
    await spread_fleet.run_round()
    assert spread_fleet.count_runs() == {"vm-1": 1, **dict.fromkeys(joining, 1)}


async def test_copies_of_a_silent_and_of_a_slow_run_do_not_share_a_vm(spread_fleet):
    """Guards against two copies of tasks of a spread step on one VM, for different reasons in one round (ROUTE)."""
    step = Step(count=2, cpu_millis=200, estimate_ms=USUAL_MS, spread_limit=1, duplicates=True)
    await spread_fleet.leadership.propose(make_workflow("spread", steps=(step,)))
    await spread_fleet.join("vm-2", rack="r2")
    await spread_fleet.poll()
    await spread_fleet.run_round()
    assert spread_fleet.count_runs() == {"vm-1": 1, "vm-2": 1}
    await spread_fleet.join("vm-3", rack="r3")
    spread_fleet.vms.silent_vms = {"vm-1"}
    for seconds in (0.0, CONTACT_TIMEOUT_S + 0.1):
        spread_fleet.leadership.now += seconds
        await spread_fleet.poll()
    await spread_fleet.run_round()
    assert spread_fleet.count_runs() == {"vm-1": 1, "vm-2": 1, "vm-3": 1}


async def test_task_does_not_join_a_run_whose_end_is_committed_but_which_the_vm_still_has(spread_fleet):
    """Guards against two tasks of a spread step on one VM, one of which the leader has given up (ROUTE)."""
    leadership, vms = spread_fleet.leadership, spread_fleet.vms
    await leadership.propose(make_workflow("spread", steps=(Step(count=2, cpu_millis=200, spread_limit=1),)))
    await spread_fleet.run_round()
    lost = RunEnd(task="spread.0.0.0", run=1, outcome=RunOutcome.LOST)
    await leadership.propose(EndRuns(vm="vm-1", boot=1, ends=(lost,), at_ms=9))
    await spread_fleet.poll()
    await spread_fleet.run_round()
    assert spread_fleet.count_runs() == {}
    vms.running.clear()
    vms.ends.append(ListedEnd(1, replace(lost, outcome=RunOutcome.STOPPED)))
    await spread_fleet.poll()
    await spread_fleet.run_round()
    assert spread_fleet.count_runs() == {"vm-1": 1}


async def test_round_during_a_poll_sees_the_runs_that_the_vm_lists(spread_fleet, monkeypatch):
    """Guards against a round between the answer of a VM and the commit of the ends in it, which places from an older list."""
    leadership, vms = spread_fleet.leadership, spread_fleet.vms
    await leadership.propose(make_workflow("other", steps=(Step(count=1, cpu_millis=200),)))
    await leadership.propose(make_workflow("spread", steps=(Step(count=2, cpu_millis=200, spread_limit=1),)))
    await spread_fleet.run_round()
    lost = RunEnd(task="spread.0.0.0", run=1, outcome=RunOutcome.LOST)
    await leadership.propose(EndRuns(vm="vm-1", boot=1, ends=(lost,), at_ms=9))
    leadership.now += CONTACT_TIMEOUT_S + 0.1
    del vms.running["other.0.0.0", 1]
    vms.ends.append(ListedEnd(1, RunEnd(task="other.0.0.0", run=1, outcome=RunOutcome.DONE)))
    propose = leadership.propose

    async def propose_after_a_round(command):
        monkeypatch.setattr(leadership, "propose", propose)
        await spread_fleet.run_round()
        await propose(command)

    monkeypatch.setattr(leadership, "propose", propose_after_a_round)
    await spread_fleet.poll()
    assert spread_fleet.count_runs() == {}
