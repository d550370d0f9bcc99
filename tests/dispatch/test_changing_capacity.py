"""VMs whose capacity shrinks and grows while they run tasks."""

from __future__ import annotations

import asyncio
import random
from functools import partial

import pytest

from dispatch.conftest import LIMITS, FakeVms, make_link
from hyssopway.dispatch import LeaderController, WorkerUnreachableError
from hyssopway.dispatch.dispatcher import Dispatcher
from hyssopway.dispatch.listed_end import ListedEnd
from hyssopway.dispatch.poll_rate_limiter import PollRateLimiter
from hyssopway.dispatch.poll_timing import STABLE_WAIT_MS
from hyssopway.dispatch.vm_link import CAPACITY_TIMEOUT_S, STOP_SLACK_S
from hyssopway.workflow import PutDocument, RunEnd, RunOutcome, RunStart, StartRuns, Step, TaskId
from workflow.conftest import make_document, make_vm, make_workflow

STEP_S = 0.1


class UnguardedVms(FakeVms):
    """Fake VMs that start whatever they are told to.

    Attributes:
        cores: Present capacity of each VM.
        over: Starts that brought a VM over its capacity.
    """

    def __init__(self, leadership):
        super().__init__(leadership)
        self.cores = {}
        self.over = []
        self.ends_of = {}
        self.started_at = {}

    def used_cores(self, vm_id):
        return sum(name == vm_id for name in self.running.values())

    async def poll(self, *, vm, last_end, **arguments):
        self.ends = self.ends_of.get(vm.vm_id, [])
        return await super().poll(vm=vm, last_end=last_end, **arguments)

    async def start(self, *, vm, task, run, **arguments):
        reply = await super().start(vm=vm, task=task, run=run, **arguments)
        self.started_at[task, run] = self.leadership.now
        if self.used_cores(vm.vm_id) > self.cores[vm.vm_id]:
            self.over.append((vm.vm_id, task, run))
        return reply

    def finish_runs(self, *, rng):
        for (task, run), vm_id in list(self.running.items()):
            step = self.leadership.state.tables.workflows[TaskId.parse(task).workflow].spec.steps[0]
            if not step.long_running and rng.random() < 0.2:
                del self.running[task, run]
                ends = self.ends_of.setdefault(vm_id, [])
                end = RunEnd(task=task, run=run, outcome=RunOutcome.DONE)
                ends.append(ListedEnd(len(ends) + 1, end))


@pytest.mark.parametrize("seed", range(3))
async def test_no_start_exceeds_the_announced_capacity(leadership, monkeypatch, seed):
    """Guards against starts that exceed the capacity of a VM that has shrunk and does not reject them."""
    monkeypatch.setattr(PollRateLimiter, "compute_pause_s", lambda _: 0.0)
    rng = random.Random(seed)
    vms = UnguardedVms(leadership)
    await leadership.propose(PutDocument(document=make_document(guards_capacity=False)))
    names = [f"vm-{number}" for number in range(4)]
    links = {}
    for name in names:
        vms.cores[name] = 8
        await leadership.propose(make_vm(name))
        links[name] = make_link(name, leadership=leadership, calls=vms)
    dispatcher = Dispatcher(leadership=leadership, links=links)
    for tick in range(200):
        leadership.now += STEP_S
        if tick % 3 == 0:
            steps = (Step(count=rng.randint(1, 5), cpu_millis=1000, long_running=rng.random() < 0.03),)
            await leadership.propose(make_workflow(f"w{tick}", steps=steps))
        if rng.random() < 0.2:
            name = rng.choice(names)
            vms.cores[name] = rng.randint(0, 8)
            await leadership.propose(make_vm(name, cores=vms.cores[name], sequence=tick + 1))
        vms.finish_runs(rng=rng)
        for link in links.values():
            link.announced_at = leadership.now
            await link.poll()
        await dispatcher.run_round()
        await asyncio.gather(*dispatcher.sending)
    assert len(vms.started_at) > 60
    assert vms.over == []


async def test_late_report_does_not_restore_a_capacity_that_has_shrunk(fleet, vms):
    """Guards against a new leader that takes an announcement from before the change of leader for the latest one."""
    vms.silent = True
    await fleet.propose(make_vm("vm-1", cores=2, sequence=6))
    controller = LeaderController(leadership=fleet, calls=vms, machines=None, advisor=None, limits=LIMITS)
    await controller.handle_announcement(make_vm("vm-1", cores=8, sequence=5))
    assert fleet.state.tables.vms["vm-1"].capacity.cpu_millis == 2000
    await controller.handle_announcement(make_vm("vm-1", cores=4, sequence=7))
    assert fleet.state.tables.vms["vm-1"].capacity.cpu_millis == 4000
    await asyncio.sleep(0)  # lets the links begin, so that they can be cancelled
    for task in controller.tasks.values():
        task.cancel()
    await asyncio.gather(*controller.tasks.values(), return_exceptions=True)


async def test_new_boot_gets_no_task_before_it_announces_its_capacity(fleet, vms):
    """Guards against starts that assume the capacity of the earlier boot, which may have been of another kind."""
    link = make_link("vm-1", leadership=fleet, calls=vms)
    dispatcher = Dispatcher(leadership=fleet, links={"vm-1": link})
    await link.poll()
    vms.boot = 2
    await link.poll()
    await link.poll()
    await dispatcher.run_round()
    await asyncio.gather(*dispatcher.sending)
    assert vms.orders == []
    await fleet.propose(make_vm("vm-1", boot=2, sequence=1))
    await dispatcher.run_round()
    await asyncio.gather(*dispatcher.sending)
    assert [order for order, _, _ in vms.orders] == ["start", "start"]


async def test_unanswered_start_is_not_repeated_on_a_vm_that_has_shrunk(fleet, vms):
    """Guards against a repeated start of a long-running task that exceeds a capacity which has shrunk meanwhile."""
    step = Step(count=1, cpu_millis=4000, long_running=True)
    await fleet.propose(make_workflow("steady", steps=(step,)))
    link = make_link("vm-1", leadership=fleet, calls=vms)
    await link.poll()

    async def lose_order(**_):
        vms.orders.append("start")
        raise WorkerUnreachableError("no answer")

    vms.start = lose_order
    link.orders.expect_start(task="steady.0.0.0", run=1)
    await fleet.propose(
        StartRuns(fencing_token=3, starts=(RunStart(task="steady.0.0.0", run=1, vm="vm-1"),), at_ms=1)
    )
    (run,) = fleet.state.tables.runs["steady.0.0.0"]
    await link.start(run, specification="", checkpoint="")
    await fleet.propose(make_vm("vm-1", cores=2, sequence=1))
    sent = vms.orders.count("start")
    fleet.now += 1.0
    await link.poll()
    await asyncio.gather(*link.orders.sending)
    assert vms.orders.count("start") == sent
    assert ("stop", "steady.0.0.0", 1) in vms.orders


async def test_run_whose_end_is_committed_counts_until_the_vm_has_stopped_it(fleet, vms):
    """Guards against a start in the place of a run that the VM is still stopping."""
    await fleet.propose(make_vm("vm-1", cores=1, sequence=1))
    link = make_link("vm-1", leadership=fleet, calls=vms)
    dispatcher = Dispatcher(leadership=fleet, links={"vm-1": link})
    vms.running["w.0.0.1", 1] = "vm-1"  # the leader has ended this run while the VM was out of contact
    await link.poll()
    await asyncio.gather(*link.orders.sending)
    assert ("stop", "w.0.0.1", 1) in vms.orders
    vms.running.clear()
    fleet.now += LIMITS.stop_s / 2
    await link.poll()
    await dispatcher.run_round()
    await asyncio.gather(*dispatcher.sending)
    assert [order for order in vms.orders if order[0] == "start"] == []
    for _ in range(3):
        fleet.now += 1.0
        await link.poll()
    await dispatcher.run_round()
    await asyncio.gather(*dispatcher.sending)
    assert [order[0] for order in vms.orders].count("start") == 1


async def test_run_counts_until_it_is_stopped_after_a_poll_that_waited(fleet, vms, monkeypatch):
    """Guards against counting the stop of a run from when the poll was sent, whose list may be written much later."""
    link = make_link("vm-1", leadership=fleet, calls=vms)
    vms.running["w.0.0.1", 1] = "vm-1"  # the leader has ended this run while the VM was out of contact
    await link.poll()
    vms.running.clear()
    answer = vms.poll

    async def answer_after(wait_s, **arguments):
        fleet.now += wait_s
        return await answer(**arguments)

    monkeypatch.setattr(vms, "poll", partial(answer_after, STABLE_WAIT_MS / 1000))
    await link.poll()
    stop_began_at = fleet.now
    monkeypatch.setattr(vms, "poll", partial(answer_after, 0.05))
    while fleet.now + 0.05 < stop_began_at + LIMITS.stop_s:
        await link.poll()
        assert link.stopping.measure_usage(fleet.state.tables).cpu_millis > 0, (
            f"{fleet.now - stop_began_at:.2f} s into the stop"
        )


async def test_new_leader_waits_for_the_capacity_of_a_vm_that_rejects_nothing(fleet, vms):
    """Guards against starts by a new leader on VMs that have shrunk while nobody led."""
    await fleet.propose(PutDocument(document=make_document(version=2, guards_capacity=False)))
    vms.silent = True
    controller = LeaderController(leadership=fleet, calls=vms, machines=None, advisor=None, limits=LIMITS)
    controller._sync_links()
    vms.silent = False
    await controller.links["vm-1"].poll()
    assert controller.dispatcher.list_free_capacity() == {}
    await controller.handle_announcement(make_vm("vm-1", cores=2, sequence=1))
    assert controller.dispatcher.list_free_capacity() == {}, "it may be stopping runs of the leader before"
    fleet.now += LIMITS.stop_s + STOP_SLACK_S + 0.1
    (free,) = controller.dispatcher.list_free_capacity()["vans"]
    assert free.cpu_millis == 2000
    fleet.now += CAPACITY_TIMEOUT_S + 0.1
    await controller.links["vm-1"].poll()
    assert controller.dispatcher.list_free_capacity() == {}
    vms.silent = True
    await asyncio.sleep(0)
    for task in controller.tasks.values():
        task.cancel()
    await asyncio.gather(*controller.tasks.values(), return_exceptions=True)
