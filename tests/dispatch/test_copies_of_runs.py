"""Copies of runs on silent VMs, from the polls of the VMs to the orders."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from dispatch.conftest import FakeVms, make_link
from hyssopway.dispatch import WorkerUnreachableError
from hyssopway.dispatch.dispatcher import Dispatcher
from hyssopway.dispatch.listed_end import ListedEnd
from hyssopway.dispatch.placed_runs import PlacedRuns
from hyssopway.dispatch.ready_steps import add_copies
from hyssopway.dispatch.vm_link import CONTACT_TIMEOUT_S
from hyssopway.scheduling.copies import StepKey
from hyssopway.scheduling.durations import MIN_RUNS
from hyssopway.scheduling.rating import Rating
from hyssopway.scheduling.vm_evidence import VmEvidence
from hyssopway.workflow import Capacity, PutDocument, RegisterVm, RunEnd, RunOutcome, Step, TaskId
from workflow.conftest import PLANS_ID, make_document, make_workflow

VMS_PER_RACK = 4
RACKS = 3
CORES = 16
# Fills the VMs of two of the three racks.
TASKS = 2 * VMS_PER_RACK * CORES


class RackVms(FakeVms):
    """Fake VMs of which some are silent.

    Attributes:
        silent_vms: IDs of the VMs that answer nothing.
        percents: Percentage done that is listed for the runs of a VM, by VM ID.
    """

    def __init__(self, leadership):
        super().__init__(leadership)
        self.silent_vms = set()
        self.percents = {}

    def check(self, vm):
        if vm.vm_id in self.silent_vms:
            raise WorkerUnreachableError("silent")

    async def poll(self, *, vm, **arguments):
        self.check(vm)
        reply = await super().poll(vm=vm, **arguments)
        percent = self.percents.get(vm.vm_id, 90)
        return replace(reply, running=tuple(row._replace(percent=percent) for row in reply.running))

    async def start(self, *, vm, **arguments):
        self.check(vm)
        return await super().start(vm=vm, **arguments)

    async def stop(self, *, vm, **arguments):
        self.check(vm)
        return await super().stop(vm=vm, **arguments)


class Fleet:
    """A leader with VMs in three racks.

    Attributes:
        leadership: Term of the leader.
        vms: Fake VMs.
        links: Links to the VMs.
        dispatcher: Dispatcher of the leader.
    """

    def __init__(self, leadership):
        self.leadership = leadership
        self.vms = RackVms(leadership)
        self.links = {}
        self.dispatcher = Dispatcher(leadership=leadership, links=self.links)

    async def set_up(self, *, max_attempts=2):
        await self.leadership.propose(PutDocument(document=make_document(max_attempts=max_attempts)))
        for number in range(RACKS * VMS_PER_RACK):
            rack = f"r{number // VMS_PER_RACK}"
            command = RegisterVm(
                vm=f"{rack}-{number}",
                boot=1,
                address="10.0.1.1:80",
                pool="vans",
                zone="nashua",
                labels=("a", rack),
                capacity=Capacity(cpu_millis=CORES * 1000, memory_mb=32_000),
                draining=False,
                at_ms=0,
            )
            await self.leadership.propose(command)
        self.connect()
        self.learn_durations()
        await self.poll()

    def learn_durations(self):
        for _ in range(MIN_RUNS):
            self.dispatcher.durations.add(PLANS_ID, declared_ms=600, actual_ms=600)

    def connect(self):
        for vm_id in self.leadership.state.tables.vms:
            self.links[vm_id] = make_link(vm_id, leadership=self.leadership, calls=self.vms)

    async def poll(self):
        for link in self.links.values():
            await link.poll()

    async def run_round(self):
        await self.dispatcher.run_round()
        await asyncio.gather(*self.dispatcher.sending)

    async def submit(self, *, name="w", count=TASKS, **step):
        command = make_workflow(name, steps=(Step(count=count, cpu_millis=1000, estimate_ms=600, **step),))
        await self.leadership.propose(command)
        await self.run_round()

    async def darken(self, rack):
        """Silences a rack for as long as it takes until its VMs count as silent, but their leases have not expired."""
        self.vms.silent_vms = {vm_id for vm_id in self.links if vm_id.startswith(rack)}
        await self.poll()
        self.leadership.now += CONTACT_TIMEOUT_S + 0.1
        await self.poll()

    def runs(self):
        return {task: [run.vm for run in runs] for task, runs in self.leadership.state.tables.runs.items()}


@pytest.fixture
async def rack_fleet(leadership):
    result = Fleet(leadership)
    await result.set_up()
    return result


async def test_dark_rack_at_full_load(rack_fleet):
    """Guards against tasks that wait for the leases of a dark rack while other racks have room."""
    await rack_fleet.submit(duplicates=True)
    await rack_fleet.darken("r0")
    on_dark = {task for task, vms in rack_fleet.runs().items() if vms[0].startswith("r0")}
    assert len(on_dark) == VMS_PER_RACK * CORES
    await rack_fleet.run_round()
    for task, vms in rack_fleet.runs().items():
        assert len(vms) == (2 if task in on_dark else 1), task
        assert not vms[-1].startswith("r0")
    assert rack_fleet.dispatcher.counters["copies_of_silent_runs"] == len(on_dark)
    assert rack_fleet.dispatcher.waiting_millis == {}
    before = rack_fleet.runs()
    await rack_fleet.run_round()
    assert rack_fleet.runs() == before


async def test_copies_wait_like_tasks(rack_fleet):
    """Guards against a pool that gets no machine for the copies that find no room."""
    await rack_fleet.submit(duplicates=True, count=RACKS * VMS_PER_RACK * CORES)
    await rack_fleet.darken("r0")
    await rack_fleet.run_round()
    assert all(len(vms) == 1 for vms in rack_fleet.runs().values())
    assert rack_fleet.dispatcher.waiting_millis == {"vans": VMS_PER_RACK * CORES * 1000}


async def test_step_without_duplicates_waits_for_the_leases(rack_fleet):
    """Guards against two runs of a task that may run only once at a time."""
    await rack_fleet.submit()
    await rack_fleet.darken("r0")
    await rack_fleet.run_round()
    assert all(len(vms) == 1 for vms in rack_fleet.runs().values())


async def test_first_end_of_two_runs_completes_the_workflow(rack_fleet):
    """Guards against a task that waits again, or a workflow that fails, when its other run ends later."""
    await rack_fleet.submit(duplicates=True, count=1)
    task, (vm,) = next(iter(rack_fleet.runs().items()))
    await rack_fleet.darken(vm[:2])
    await rack_fleet.run_round()
    copy_vm = rack_fleet.runs()[task][1]
    link = rack_fleet.links[copy_vm]
    rack_fleet.vms.running.pop((task, 2))
    await link._propose_ends([RunEnd(task=task, run=2, outcome=RunOutcome.DONE)])
    assert rack_fleet.leadership.state.indexes.runs_to_stop == {f"{task}/1": vm}
    # The silent VM is back and reports that its run has failed.
    rack_fleet.vms.silent_vms = set()
    rack_fleet.vms.running.clear()
    rack_fleet.vms.ends = [ListedEnd(1, RunEnd(task=task, run=1, outcome=RunOutcome.FAILED))]
    await rack_fleet.links[vm].poll()
    assert rack_fleet.leadership.state.tables.workflows["w"].status == "completed"
    assert rack_fleet.runs() == {}


async def test_lapsed_run_leaves_its_copy_alone(rack_fleet):
    """Guards against a third run of a task whose copy is in progress when the lease of its first run expires."""
    await rack_fleet.submit(duplicates=True, count=4)
    vm = next(iter(rack_fleet.runs().values()))[0]
    await rack_fleet.darken(vm[:2])
    await rack_fleet.run_round()
    copies = {task: vms[1] for task, vms in rack_fleet.runs().items()}
    rack_fleet.leadership.now = rack_fleet.links[vm].lease.expires_at + 0.1
    await rack_fleet.poll()
    await rack_fleet.run_round()
    assert rack_fleet.runs() == {task: [copy_vm] for task, copy_vm in copies.items()}


async def test_paused_leader_starts_no_copies(rack_fleet):
    """Guards against copies of all runs by a leader that was paused and takes its own silence for that of the VMs."""
    await rack_fleet.submit(duplicates=True)
    rack_fleet.leadership.now += 2.0
    await rack_fleet.links["r2-8"].poll()
    await rack_fleet.run_round()
    assert all(len(vms) == 1 for vms in rack_fleet.runs().values())


async def test_new_leader_gives_vms_time_to_answer(rack_fleet):
    """Guards against copies by a new leader of runs on VMs whose first polls were lost."""
    await rack_fleet.submit(duplicates=True)
    rack_fleet.leadership.started_at = rack_fleet.leadership.now
    rack_fleet.connect()
    rack_fleet.vms.silent_vms = {vm_id for vm_id in rack_fleet.links if vm_id.startswith("r0")}
    for _ in range(3):
        await rack_fleet.poll()
    await rack_fleet.run_round()
    assert all(len(vms) == 1 for vms in rack_fleet.runs().values())


async def test_leader_killed_between_agreement_and_order_of_a_copy(rack_fleet, monkeypatch):
    """Guards against a second copy by a new leader, and against a copy that was never ordered and is never resolved."""
    await rack_fleet.submit(duplicates=True, count=1)
    task, (vm,) = next(iter(rack_fleet.runs().items()))
    await rack_fleet.darken(vm[:2])
    with monkeypatch.context() as patch:
        patch.setattr(Dispatcher, "_order_start", lambda *_: None)
        await rack_fleet.run_round()
    copy_vm = rack_fleet.runs()[task][1]
    # A new leader takes over; the rack stays dark, so its leases have not expired for the new leader.
    leadership = rack_fleet.leadership
    leadership.term += 1
    leadership.started_at = leadership.now
    rack_fleet.connect()
    rack_fleet.dispatcher = Dispatcher(leadership=leadership, links=rack_fleet.links)
    await rack_fleet.poll()
    await rack_fleet.run_round()
    assert rack_fleet.runs()[task] == [vm, copy_vm]
    # The VM of the copy has acknowledged the new term and does not list the copy: it never ran.
    for _ in range(2):
        leadership.now += 0.7
        await rack_fleet.poll()
    assert rack_fleet.runs()[task] == [vm]
    await rack_fleet.run_round()
    assert len(rack_fleet.runs()[task]) == 2


async def test_lost_answer_to_the_order_of_a_copy(rack_fleet):
    """Guards against a further run of a task when a VM carries out the order of a copy but does not answer."""
    await rack_fleet.submit(duplicates=True, count=1)
    task, (vm,) = next(iter(rack_fleet.runs().items()))
    await rack_fleet.darken(vm[:2])
    rack_fleet.vms.lose = 100
    await rack_fleet.run_round()
    rack_fleet.vms.lose = 0
    for _ in range(3):
        await rack_fleet.run_round()
    assert len(rack_fleet.runs()[task]) == 2


SLOW_VM = "r0-0"
# A twentieth of the CPU of all VMs; each copy takes one core.
BUDGET_CORES = RACKS * VMS_PER_RACK * CORES // 20


async def slow_down(fleet, *, seconds=0.8, percent=20):
    """Lets one VM work at a fifth of the usual rate for a while."""
    fleet.vms.percents = {SLOW_VM: percent}
    await fleet.poll()
    fleet.leadership.now += seconds
    await fleet.poll()


async def test_slow_run_gets_a_copy_and_is_stopped_when_it_has_lost(rack_fleet):
    """Guards against a step that waits for one task on a VM that is five times slower."""
    await rack_fleet.submit(duplicates=True, count=4)
    await slow_down(rack_fleet)
    await rack_fleet.run_round()
    copies = {task: vms[1] for task, vms in rack_fleet.runs().items()}
    assert len(copies) == 4
    assert not any(vm.startswith("r0") for vm in copies.values())
    assert rack_fleet.dispatcher.counters["copies_of_slow_runs"] == 4
    for task, vm in copies.items():
        await rack_fleet.links[vm]._propose_ends([RunEnd(task=task, run=2, outcome=RunOutcome.DONE)])
    rack_fleet.dispatcher._stop_unneeded_runs()
    await asyncio.gather(*rack_fleet.links[SLOW_VM].orders.sending)
    stops = {task for kind, task, run in rack_fleet.vms.orders if (kind, run) == ("stop", 1)}
    assert stops == set(copies)


@pytest.mark.parametrize(
    ("step", "slow"),
    [
        pytest.param({"duplicates": True}, {"percent": 99}, id="almost done"),
        pytest.param({"duplicates": True}, {"seconds": 0.3, "percent": 10}, id="not late yet"),
        pytest.param({}, {}, id="no duplicates"),
        pytest.param({"duplicates": True, "fills": True}, {}, id="slowed by design"),
    ],
)
async def test_run_that_needs_no_copy_gets_none(rack_fleet, step, slow):
    """Guards against copies that end later than the run, and against runs that the step does not allow."""
    await rack_fleet.submit(count=4, **step)
    await slow_down(rack_fleet, **slow)
    await rack_fleet.run_round()
    assert all(len(vms) == 1 for vms in rack_fleet.runs().values())


async def test_copies_of_slow_runs_stay_within_their_budget(rack_fleet):
    """Guards against copies that double the load of a pool when all of its VMs are slow."""
    await rack_fleet.submit(duplicates=True, count=CORES)
    await slow_down(rack_fleet)
    for _ in range(3):
        await rack_fleet.run_round()
        rack_fleet.leadership.now += 0.2
        await rack_fleet.poll()
    assert sum(len(vms) - 1 for vms in rack_fleet.runs().values()) == BUDGET_CORES


async def test_waiting_tasks_come_before_copies_of_slow_runs(rack_fleet):
    """Guards against copies that take the capacity of tasks that have not run at all."""
    await rack_fleet.submit(duplicates=True, count=4)
    await slow_down(rack_fleet)
    await rack_fleet.submit(name="wide", count=RACKS * VMS_PER_RACK * CORES)
    assert all(len(vms) == 1 for vms in rack_fleet.runs().values())
    assert rack_fleet.dispatcher.waiting_millis


async def test_runs_on_an_avoided_vm_get_copies(rack_fleet):
    """Guards against tasks that are left on a VM that fails or is slow after it was found."""
    await rack_fleet.submit(duplicates=True, count=4)
    rack_fleet.dispatcher.ratings.vms[SLOW_VM] = VmEvidence(rating=Rating.AVOIDED, probe_due_at=1e9)
    rack_fleet.leadership.now += 0.2
    await rack_fleet.poll()
    await rack_fleet.run_round()
    assert [len(vms) for vms in rack_fleet.runs().values()] == [2] * 4


async def test_new_leader_does_not_judge_runs_whose_start_it_does_not_know(rack_fleet):
    """Guards against copies by a new leader that takes its first list for the start of all runs."""
    await rack_fleet.submit(duplicates=True, count=4)
    rack_fleet.leadership.term += 1
    rack_fleet.connect()
    rack_fleet.dispatcher = Dispatcher(leadership=rack_fleet.leadership, links=rack_fleet.links)
    rack_fleet.learn_durations()
    await rack_fleet.poll()
    await slow_down(rack_fleet)
    await rack_fleet.run_round()
    assert all(len(vms) == 1 for vms in rack_fleet.runs().values())


async def test_pace_of_a_run_that_is_copied_lowers_the_rating(rack_fleet):
    """Guards against a slow VM that is never found because its runs are stopped before they end."""
    ratings = rack_fleet.dispatcher.ratings
    for name in ("w1", "w2", "w3"):
        await rack_fleet.submit(name=name, duplicates=True, count=2)
        for index in (0, 1):
            task = TaskId(name, 0, 0, index + 10)
            ratings.record_end(vm="r2-8", task=task, run_key="", is_done=True, duration_s=0.6, now=0.0)
    await slow_down(rack_fleet)
    await rack_fleet.run_round()
    await rack_fleet.run_round()
    assert ratings.rating(SLOW_VM) is Rating.AVOIDED


async def test_copy_of_a_slow_run_starts_no_waiting_task_of_its_step(fleet):
    """Guards against starts of waiting tasks that the first placement of the same round has started already."""
    await fleet.propose(make_workflow("slow", steps=(Step(count=3, cpu_millis=1000, duplicates=True),)))
    (step,) = add_copies(
        [],
        copies={StepKey("slow", 0, 0): {0: frozenset()}},
        tables=fleet.state.tables,
        indexes=fleet.state.indexes,
        placed_runs=PlacedRuns(tables=fleet.state.tables, links={}, now=fleet.now),
        now_ms=0,
    )
    assert step.indexes == [0]
