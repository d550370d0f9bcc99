"""Stateful property test of copies of runs: random ends, lapses, silent VMs, faults of orders and changes of leader.

The examples are fixed by default; `HYSSOPWAY_FRESH=1 pytest tests/dispatch/test_copy_protocol.py` draws new ones.
"""

from __future__ import annotations

import asyncio
import os
from collections import Counter

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from dispatch.conftest import LIMITS, FakeLeadership, make_link
from dispatch.model_worker import ModelNetwork, ModelWorker
from hyssopway.dispatch.dispatcher import Dispatcher
from hyssopway.dispatch.vm_link import CONTACT_TIMEOUT_S
from hyssopway.scheduling.durations import MIN_RUNS
from hyssopway.workflow import (
    CancelWorkflow,
    PutDocument,
    RunOutcome,
    StartRuns,
    Step,
    TaskId,
    WorkflowStatus,
)
from workflow.conftest import PLANS_ID, make_document, make_vm, make_workflow

VMS = ("vm-1", "vm-2", "vm-3")
FAULTS = st.sampled_from(["deliver", "deliver", "deliver", "deliver", "lose", "mute", "delay", "delay_first"])
DUPLICATES_STEP = 0
TASK_MS = 600


class RecordingLeadership(FakeLeadership):
    """Term of a leader that records what its start commands changed.

    Attributes:
        on_start: Called after each start that was applied, with the ID of the task.
    """

    on_start = None

    async def propose(self, command):
        before = {run.key for runs in self.state.tables.runs.values() for run in runs}
        await super().propose(command)
        if isinstance(command, StartRuns):
            for start in command.starts:
                key = f"{start.task}/{start.run}"
                runs = self.state.tables.runs.get(start.task, ())
                if key not in before and any(run.key == key for run in runs):
                    self.on_start(start.task)


class CopyProtocol(RuleBasedStateMachine):
    """A workflow whose first step allows duplicates and whose second does not, on three VMs in different racks."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.workers = {name: ModelWorker(name=name) for name in VMS}
        self.network = ModelNetwork(workers=self.workers, stop_s=LIMITS.stop_s)
        self.leader = RecordingLeadership()
        self.leader.on_start = self.check_start
        self.failed = Counter()

    @initialize(max_attempts=st.sampled_from([1, 2, 3, 4]))
    def set_up(self, max_attempts):
        """Stores the configuration and the workflow, and starts the first runs."""
        self.max_attempts = max_attempts
        self.run(self.leader.propose(PutDocument(document=make_document(max_attempts=max_attempts))))
        for name in VMS:
            self.run(self.leader.propose(make_vm(name, rack=f"rack of {name}")))
        steps = (
            Step(count=3, cpu_millis=500, estimate_ms=TASK_MS, duplicates=True),
            Step(count=3, cpu_millis=500),
        )
        self.run(self.leader.propose(make_workflow("w", steps=steps)))
        self.lead()
        self.poll("deliver")
        self.run_round("deliver")

    def run(self, work):
        return self.loop.run_until_complete(work)

    def lead(self):
        self.links = {name: make_link(name, leadership=self.leader, calls=self.network) for name in VMS}
        self.dispatcher = Dispatcher(leadership=self.leader, links=self.links)
        # The model lists each run at 50%, so runs that are listed for long are slow and get copies.
        for _ in range(MIN_RUNS):
            self.dispatcher.durations.add(PLANS_ID, declared_ms=TASK_MS, actual_ms=TASK_MS)

    @property
    def workflow(self):
        return self.leader.state.tables.workflows["w"]

    def check_start(self, task):
        """Checks that a start which was just applied is allowed."""
        parsed = TaskId.parse(task)
        progress = self.workflow.progress[0][parsed.step]
        runs = self.leader.state.tables.runs[task]
        assert not progress.done[parsed.number]
        assert len(runs) <= (2 if parsed.step == DUPLICATES_STEP else 1)
        assert len({run.vm for run in runs}) == len(runs)
        # Includes failures of the task's other run in progress that its VM has not reported yet.
        unreported = sum((run.key, run.vm) in self.failed for run in runs)
        assert progress.failures[parsed.number] + unreported < self.max_attempts

    @rule(fault=FAULTS)
    def run_round(self, fault):
        """Runs a scheduling round."""
        self.network.fault = fault
        self.run(self.stop_and_place())
        self.run_pending_tasks()
        self.network.fault = "deliver"

    async def stop_and_place(self):
        self.dispatcher._stop_unneeded_runs()
        await self.dispatcher.run_round()

    def run_pending_tasks(self):
        for _ in range(8):
            self.run(asyncio.sleep(0))

    @rule(fault=FAULTS)
    def poll(self, fault):
        """Polls all VMs; the same fault applies to the stops that follow."""
        for name in VMS:
            self.network.fault = fault
            self.run(self.links[name].poll())
        self.run_pending_tasks()
        self.network.fault = "deliver"

    @rule(
        silent=st.sets(st.sampled_from(VMS), min_size=1, max_size=2),
        unseen=st.sampled_from([None, RunOutcome.DONE, RunOutcome.FAILED]),
        fault=FAULTS,
    )
    def copy_silent_runs(self, silent, unseen, fault):
        """Silences VMs, on which runs may end unseen, until they count as silent, and runs a round."""
        for seconds in (0.0, CONTACT_TIMEOUT_S + 0.1):
            self.advance(seconds)
            for name in VMS:
                self.network.fault = "lose" if name in silent else "deliver"
                self.run(self.links[name].poll())
        if unseen is not None:
            for name in sorted(silent):
                self.finish(name, unseen)
        self.run_round(fault)

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 4.5]))
    def advance(self, seconds):
        """Lets time pass for the leader and for all VMs."""
        self.leader.now += seconds
        for worker in self.workers.values():
            worker.advance(seconds)

    @rule(name=st.sampled_from(VMS), outcome=st.sampled_from([RunOutcome.DONE, RunOutcome.FAILED]))
    def finish(self, name, outcome):
        """Ends a run on a VM."""
        worker = self.workers[name]
        if not worker.live:
            return
        task = min(worker.live)
        if outcome is RunOutcome.FAILED:
            self.failed[f"{task}/{worker.live[task]}", name] += 1
        worker.finish(task, outcome)

    @rule()
    def deliver_delayed(self):
        """Delivers orders that were in flight."""
        self.network.deliver_delayed()

    @rule()
    def change_leader(self):
        """Replaces the leader; the former one sends no more orders."""
        former = self.leader
        former.is_confirmed = False
        self.leader = RecordingLeadership()
        self.leader.on_start = self.check_start
        self.leader.state, self.leader.now, self.leader.started_at = former.state, former.now, former.now
        self.leader.term = former.term + 1
        self.leader.state.observed.clock = self.leader.clock
        self.lead()

    @rule(should_cancel=st.sampled_from([False] * 9 + [True]))
    def cancel(self, should_cancel):
        """Cancels the workflow in one of ten draws."""
        if should_cancel:
            self.run(self.leader.propose(CancelWorkflow(workflow_id="w", at_ms=0)))

    @invariant()
    def tasks_run_on_as_many_vms_as_allowed(self):
        """A task works on at most one VM, or on two if its step allows duplicates."""
        working = Counter(task for worker in self.workers.values() for task in worker.working())
        for task, count in working.items():
            assert count <= (2 if TaskId.parse(task).step == DUPLICATES_STEP else 1), working

    @invariant()
    def waiting_tasks_have_no_run(self):
        """A task waits exactly if it is not done and has no run in progress."""
        for number, progress in enumerate(self.workflow.progress[0] if self.links_exist() else ()):
            for index, done in enumerate(progress.done):
                runs = self.leader.state.tables.runs.get(f"w.0.{number}.{index}", ())
                assert (index in progress.pending) == (not done and not runs)

    @invariant()
    def attempts_are_bounded(self):
        """A workflow whose task failed the maximum number of times has failed."""
        for progress in self.workflow.progress[0] if self.links_exist() else ():
            if max(progress.failures) >= self.max_attempts:
                assert self.workflow.status in (WorkflowStatus.FAILED, WorkflowStatus.CANCELLED)

    @invariant()
    def usage_is_that_of_the_runs(self):
        """No usage of a team or VM is left when no run is in progress."""
        if self.leader.state.tables.runs:
            return
        indexes = self.leader.state.indexes
        for usage in (*indexes.team_usage.values(), *indexes.vm_usage.values()):
            assert (usage.cpu_millis, usage.memory_mb) == (0, 0)
        assert not indexes.runs_to_stop

    def links_exist(self):
        return "w" in self.leader.state.tables.workflows

    def teardown(self):
        """Closes the event loop."""
        self.loop.close()


TestCopyProtocol = CopyProtocol.TestCase
TestCopyProtocol.settings = settings(
    max_examples=80,
    stateful_step_count=40,
    derandomize=not os.environ.get("HYSSOPWAY_FRESH"),
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
