"""Stateful property test of the leader's protocol with its VMs: lost, delayed and repeated orders, changes of leader.

The examples are fixed by default; `HYSSOPWAY_FRESH=1 HYSSOPWAY_EXAMPLES=20000 pytest --timeout 3600
tests/dispatch/test_order_protocol.py` draws new ones, as many as given.
"""

from __future__ import annotations

import asyncio
import os

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dispatch.conftest import LIMITS, FakeLeadership, make_link
from dispatch.model_worker import ModelNetwork, ModelWorker
from hyssopway.dispatch.withheld_vms import find_withheld_vms
from hyssopway.workflow import (
    CancelWorkflow,
    PutDocument,
    RunOutcome,
    RunStart,
    StartRuns,
    Step,
    WorkflowStatus,
)
from workflow.conftest import make_document, make_vm, make_workflow

# The sequences take 42 s on an idle machine; the limit only ends a test that hangs.
pytestmark = [pytest.mark.usefixtures("silent_log"), pytest.mark.timeout(480)]
IS_FRESH = bool(os.environ.get("HYSSOPWAY_FRESH"))
# Shortening a failing example may take minutes, longer than a test may run; a fresh run is given the time.
PHASES = tuple(phase for phase in Phase if IS_FRESH or phase is not Phase.shrink)
VMS = ("vm-1", "vm-2")
MAX_ATTEMPTS = 2
FAULTS = st.sampled_from(
    [
        *("deliver", "deliver", "deliver", "deliver", "deliver"),
        *("lose", "mute", "delay", "delay_first", "restart", "restart_mute"),
    ]
)
# Longer than the usual lease, and nearly as long as the longest one.
CUT_S = st.sampled_from([5.0, 9.0])
CUT_STEP_S = 0.5
SOME_VMS = st.sampled_from([VMS, VMS, ("vm-1",), ("vm-2",)])


class OrderProtocol(RuleBasedStateMachine):
    """One workflow of two steps on two VMs under a succession of leaders."""

    steps = (Step(count=2), Step(count=1, after=(0,)))
    # The VMs have been up for so long that the clock of a later boot lies far behind.
    first_clock_ms = 500_000.0

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.workers = {name: ModelWorker(name=name, clock_ms=self.first_clock_ms) for name in VMS}
        self.network = ModelNetwork(workers=self.workers, stop_s=LIMITS.stop_s)
        self.network.list_runs = self.list_runs
        self.leader = FakeLeadership()
        self.failures = {}
        self.seen_done = set()
        for command in (PutDocument(document=make_document(max_attempts=MAX_ATTEMPTS)),):
            self.run(self.leader.propose(command))
        for name in VMS:
            self.run(self.leader.propose(make_vm(name)))
        self.run(self.leader.propose(make_workflow("w", steps=self.steps)))
        self.lead()
        self.poll(VMS, "deliver")
        self.begin()

    def begin(self):
        self.run_round("deliver", "vm-1")

    def run(self, work):
        return self.loop.run_until_complete(work)

    def lead(self):
        self.links = {name: make_link(name, leadership=self.leader, calls=self.network) for name in VMS}

    def list_runs(self):
        return {run.key for runs in self.leader.state.tables.runs.values() for run in runs}

    def run_pending_tasks(self):
        for _ in range(4):
            self.run(asyncio.sleep(0))

    @property
    def workflow(self):
        return self.leader.state.tables.workflows["w"]

    @rule(fault=FAULTS, first=st.sampled_from(VMS))
    def run_round(self, fault, first):
        """Places every waiting task on a VM in contact."""
        names = (first, *(name for name in VMS if name != first))
        withheld = find_withheld_vms(self.links, state=self.leader.state, now=self.leader.now)
        found = [
            name for name in names if name not in withheld and self.links[name].in_contact(self.leader.now)
        ]
        if self.workflow.status.is_final or not found:
            return
        first, link = found[0], self.links[found[0]]
        self.network.fault = fault
        for number, progress in enumerate(self.workflow.progress[0]):
            if not self.workflow.is_step_ready(occurrence=0, step=number):
                continue
            for index in sorted(progress.pending):
                start = RunStart(task=f"w.0.{number}.{index}", run=progress.last_run[index] + 1, vm=first)
                link.orders.expect_start(task=start.task, run=start.run)
                self.run(self.leader.propose(StartRuns(fencing_token=self.leader.term, starts=(start,))))
                for active in self.leader.state.tables.runs.get(start.task, ()):
                    assert start.task not in self.seen_done
                    self.run(link.start(active, specification="", checkpoint=""))
        self.network.fault = "deliver"

    @rule(names=SOME_VMS, fault=FAULTS)
    def poll(self, names, fault):
        """Polls VMs; the same fault applies to the stops that follow."""
        self.network.fault = fault
        for name in names:
            self.run(self.links[name].poll())
        self.run_pending_tasks()
        self.network.fault = "deliver"

    @rule(fault=FAULTS)
    def stop_unwanted(self, fault):
        """Stops runs that are no longer needed."""
        self.network.fault = fault
        self.run(self.stop_runs(self.leader.state.indexes.runs_to_stop))
        self.network.fault = "deliver"

    @rule(name=st.sampled_from(VMS), fault=FAULTS)
    def drain_vm(self, name, fault):
        """Stops all runs on a VM, as for its maintenance."""
        self.network.fault = fault
        self.run(self.stop_runs(dict.fromkeys(self.leader.state.tables.vms[name].runs, name)))
        self.network.fault = "deliver"

    async def stop_runs(self, runs):
        for key, vm in sorted(runs.items()):
            task, _, run = key.rpartition("/")
            self.links[vm].orders.request_stop(task=task, run=int(run), reason="test")
        for _ in range(4):
            await asyncio.sleep(0)

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 4.5]))
    def advance(self, seconds):
        """Lets time pass for the leader and for all VMs."""
        self.leader.now += seconds
        self.network.advance(seconds)
        for worker in self.workers.values():
            worker.advance(seconds)

    @rule(name=st.sampled_from(VMS), outcome=st.sampled_from([RunOutcome.DONE, RunOutcome.FAILED]))
    def finish(self, name, outcome):
        """Ends a run on a VM."""
        worker = self.workers[name]
        if not worker.live:
            return
        task = min(worker.live)
        worker.finish(task, outcome)

    @rule(position=st.sampled_from([None, 0, -1]))
    def deliver_delayed(self, position=None):
        """Delivers all orders that were in flight, or the one that was for the longest or shortest time."""
        if position is None:
            self.network.deliver_delayed()
        elif self.network.delayed:
            self.network.deliver_delayed([self.network.delayed[position]])

    @rule(name=st.sampled_from(VMS))
    def restart_vm(self, name):
        """Restarts a VM under its ID; the leader finds out by a poll or by an announcement."""
        self.workers[name].restart()

    @rule(fault=st.sampled_from(["restart", "restart_mute"]), name=st.sampled_from(VMS))
    def start_on_next_boot(self, fault, name):
        """Restarts a VM right before a start reaches it."""
        self.run_round(fault, name)

    @rule(name=st.sampled_from(VMS), capacity=st.sampled_from([0, 1, None]))
    def change_room(self, name, capacity):
        """Changes the number of runs for which a VM has room; those in progress go on."""
        self.workers[name].capacity = capacity

    @rule(name=st.sampled_from(VMS), seconds=CUT_S)
    def cut_off(self, name, seconds):
        """Loses all calls to a VM for some seconds, while the other VM gets the waiting tasks."""
        self.serve_other(name, "lose", seconds=seconds)

    @rule(name=st.sampled_from(VMS), seconds=CUT_S)
    def take_down(self, name, seconds):
        """Ends a VM, which refuses connections for some seconds and then starts again under its ID."""
        self.workers[name].restart()
        self.network.down.add(name)
        self.serve_other(name, "deliver", seconds=seconds)
        self.network.down.discard(name)

    def serve_other(self, name, fault, *, seconds):
        """Polls both VMs for some seconds, one of them with a fault, while the other one gets the waiting tasks."""
        (other,) = (vm for vm in VMS if vm != name)
        for _ in range(int(seconds / CUT_STEP_S)):
            self.advance(CUT_STEP_S)
            self.poll((name,), fault)
            self.poll((other,), "deliver")
            self.run_round("deliver", other)
            self.check()

    @rule(name=st.sampled_from(VMS))
    def announce(self, name):
        """Announces the boot of a VM that has restarted while it left the polls unanswered."""
        boot, known_boot = self.workers[name].boot, self.leader.state.tables.vms[name].boot
        if boot > known_boot:
            command = make_vm(name, boot=boot, sequence=1)
            self.run(self.links[name].boots.replace(command, replaced_boot=known_boot))

    @rule()
    def change_leader(self):
        """Replaces the leader; the former one sends no more orders."""
        state, now = self.leader.state, self.leader.now
        self.leader.is_confirmed = False
        term = self.leader.term + 1
        self.leader = FakeLeadership()
        self.leader.state, self.leader.now, self.leader.started_at = state, now, now
        self.leader.term = term
        state.observed.clock = self.leader.clock
        self.network.change_leader()
        self.lead()

    @rule(should_cancel=st.sampled_from([False, False, False, False, True]))
    def cancel(self, should_cancel):
        """Cancels the workflow in one of five draws."""
        if should_cancel:
            self.run(self.leader.propose(CancelWorkflow(workflow_id="w", at_ms=0)))

    def check(self):
        """Checks the rules within a longer sequence of events."""
        self.no_task_runs_twice()
        self.done_tasks_stay_done()
        self.tasks_with_a_noted_end_stay_done()

    @invariant()
    def no_task_runs_twice(self):
        """A task runs on at most one VM."""
        working = [task for worker in self.workers.values() for task in worker.working()]
        assert len(working) == len(set(working)), working

    @invariant()
    def done_tasks_stay_done(self):
        """A task that is committed as done never runs again."""
        for number, progress in enumerate(self.workflow.progress[0]):
            for index, done in enumerate(progress.done):
                task = f"w.0.{number}.{index}"
                if done:
                    self.seen_done.add(task)
                    assert not any(task in worker.live for worker in self.workers.values())

    @invariant()
    def tasks_with_a_noted_end_stay_done(self):
        """A task whose end as done was acknowledged to its VM never runs again."""
        noted = set().union(*(worker.noted for worker in self.workers.values()))
        working = {task for worker in self.workers.values() for task in worker.live}
        assert not noted & working

    @invariant()
    def steps_keep_their_order(self):
        """A task of the second step runs only after the first step is done."""
        is_first_done = all(self.workflow.progress[0][0].done)
        second = any("w.0.1.0" in worker.live for worker in self.workers.values())
        assert is_first_done or not second

    @invariant()
    def attempts_are_bounded(self):
        """A workflow whose task failed the maximum number of times has failed."""
        for progress in self.workflow.progress[0]:
            if max(progress.failures) >= MAX_ATTEMPTS:
                assert self.workflow.status in (WorkflowStatus.FAILED, WorkflowStatus.CANCELLED)

    def teardown(self):
        """Closes the event loop."""
        self.loop.close()


TestOrderProtocol = OrderProtocol.TestCase
TestOrderProtocol.settings = settings(
    max_examples=int(os.environ.get("HYSSOPWAY_EXAMPLES", "300")),
    stateful_step_count=40,
    derandomize=not IS_FRESH,
    phases=PHASES,
    report_multiple_bugs=False,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
