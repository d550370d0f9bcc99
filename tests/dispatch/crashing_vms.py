"""A fleet without a network in which some tasks crash each VM that starts them."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from dispatch.conftest import FakeLeadership, FakeVms, make_link
from hyssopway.dispatch import OrderReply, OtherBootError, PollReply, WorkerUnreachableError
from hyssopway.dispatch.dispatcher import Dispatcher
from hyssopway.dispatch.listed_end import ListedEnd
from hyssopway.dispatch.listed_run import ListedRun
from hyssopway.workflow import PutDocument, RunEnd, RunOutcome, TaskId
from workflow.conftest import make_document, make_vm

STEP_S = 0.1
RUN_S = 0.6


class CrashingVms(FakeVms):
    """Fake worker VMs that complete sound tasks and crash when they start a deadly one.

    Attributes:
        deadly: Names of the tasks that crash their VM.
        outage_s: Seconds until a crashed VM is back.
        returns_as_new: Whether a VM is back under a new ID; otherwise it is a new boot under its ID.
        answers_first: Whether a VM answers the start before it crashes.
        is_dark: Whether a VM that crashes leaves its connections silent instead of ending them.
        boots: Boot number by VM ID.
        down_until: Time until which a VM is down, by VM ID.
        crashes: Times of the crashes by task.
        starts: Times of the starts by task.
    """

    def __init__(self, leadership, *, deadly, outage_s, returns_as_new):
        super().__init__(leadership)
        self.deadly = set(deadly)
        self.outage_s = outage_s
        self.returns_as_new = returns_as_new
        self.answers_first = True
        self.is_dark = False
        self.boots = defaultdict(lambda: 1)
        self.down_until = {}
        self.crashes = defaultdict(list)
        self.starts = defaultdict(list)
        self.started_at = {}
        self.ends_of = defaultdict(list)

    @property
    def now(self):
        return self.leadership.now

    def crash(self, vm_id, *, task):
        self.crashes[task].append(self.now)
        self.down_until[vm_id] = self.now + self.outage_s
        self.boots[vm_id] += 1
        self.ends_of[vm_id].clear()
        for key in [key for key, name in self.running.items() if name == vm_id]:
            del self.running[key]

    def check(self, vm_id):
        if self.now < self.down_until.get(vm_id, 0.0):
            raise WorkerUnreachableError("no answer", is_sent=self.is_dark)
        if self.returns_as_new and self.boots[vm_id] > 1:
            raise OtherBootError("a different VM answers")

    def finish_runs(self):
        for (task, run), vm_id in list(self.running.items()):
            workflow = self.leadership.state.tables.workflows[TaskId.parse(task).workflow]
            step = workflow.spec.steps[TaskId.parse(task).step]
            if not step.long_running and self.now - self.started_at[task, run] >= RUN_S:
                del self.running[task, run]
                number = len(self.ends_of[vm_id]) + 1
                end = RunEnd(task=task, run=run, outcome=RunOutcome.DONE)
                self.ends_of[vm_id].append(ListedEnd(number, end))

    async def poll(self, *, vm, last_end, **_):
        self.check(vm.vm_id)
        rows = tuple(
            ListedRun(task, run, "", 100, 0) for (task, run), name in self.running.items() if name == vm.vm_id
        )
        return PollReply(
            clock_ms=round(self.now * 1000),
            boot=self.boots[vm.vm_id],
            running=rows,
            ends=tuple(end for end in self.ends_of[vm.vm_id] if end.number > last_end),
            is_complete=True,
        )

    async def start(self, *, vm, task, run, **arguments):
        self.check(vm.vm_id)
        if task in self.deadly:
            self.starts[task].append(self.now)
            self.crash(vm.vm_id, task=task)
            if self.answers_first:
                return OrderReply()
            raise WorkerUnreachableError("connection lost", is_broken=not self.is_dark)
        self.started_at[task, run] = self.now
        return await super().start(vm=vm, task=task, run=run, **arguments)

    async def stop(self, *, vm, task, run, **arguments):
        self.check(vm.vm_id)
        self.running.pop((task, run), None)
        return await super().stop(vm=vm, task=task, run=run, **arguments)


class CrashingFleet:
    """A leader with VMs that deadly tasks crash.

    Attributes:
        leadership: Term of the current leader.
        vms: The VMs.
        links: Links to the VMs.
        dispatcher: Dispatcher of the current leader.
    """

    def __init__(self, *, deadly, outage_s=3.3, returns_as_new=True):
        self.leadership = FakeLeadership()
        self.vms = CrashingVms(
            self.leadership, deadly=deadly, outage_s=outage_s, returns_as_new=returns_as_new
        )
        self.links = {}
        self.dispatcher = Dispatcher(leadership=self.leadership, links=self.links)
        self.vm_count = 0

    @property
    def workflows(self):
        return self.leadership.state.tables.workflows

    async def set_up(self, *workflows, vms=6):
        await self.leadership.propose(PutDocument(document=make_document()))
        for _ in range(vms):
            await self.add_vm()
        await self.advance(0.3)
        for workflow in workflows:
            await self.leadership.propose(workflow)

    async def add_vm(self):
        self.vm_count += 1
        await self.leadership.propose(make_vm(f"vm-{self.vm_count}"))

    def change_leader(self):
        """Replaces the leader by one that knows only the replicated state."""
        state, now = self.leadership.state, self.leadership.now
        term = self.leadership.term + 1
        self.leadership = FakeLeadership()
        self.leadership.state, self.leadership.now, self.leadership.term = state, now, term
        self.leadership.started_at = now
        self.vms.leadership = self.leadership
        self.links = {}
        self.dispatcher = Dispatcher(leadership=self.leadership, links=self.links)

    async def advance(self, seconds, *, on_step=None):
        """Lets time pass: VMs work, are polled and return, and the leader runs its rounds."""
        for _ in range(round(seconds / STEP_S)):
            self.leadership.now += STEP_S
            if self.vms.returns_as_new:
                await self._replace_returned_vms()
            self.vms.finish_runs()
            await self._poll_all()
            self.dispatcher._stop_unneeded_runs()
            await self.dispatcher.run_round()
            await asyncio.gather(*self.dispatcher.sending)
            for link in self.links.values():
                await asyncio.gather(*link.orders.sending)
            if on_step is not None:
                on_step()

    async def _replace_returned_vms(self):
        for vm_id, until in list(self.vms.down_until.items()):
            if until and self.leadership.now >= until:
                self.vms.down_until[vm_id] = 0.0
                await self.add_vm()

    async def _poll_all(self):
        for vm_id in list(self.leadership.state.tables.vms):
            if vm_id not in self.links:
                self.links[vm_id] = make_link(vm_id, leadership=self.leadership, calls=self.vms)
            await self.links[vm_id].poll()
