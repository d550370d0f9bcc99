"""Random sequences of rounds, polls, faults, late commits and changes of leader over steps with a spread limit."""

from __future__ import annotations

import os
from collections import Counter
from contextlib import suppress

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, rule

from dispatch.test_copy_protocol import TASK_MS, VMS, CopyProtocol
from hyssopway.dispatch import LeadershipLostError
from hyssopway.workflow import PutDocument, SetStateVersion, Step, TaskId
from workflow.conftest import make_document, make_vm, make_workflow

SPREAD_LIMIT = 1


class SpreadProtocol(CopyProtocol):
    """A workflow of two steps with a spread limit, on three VMs in different racks; tasks of the first may be copied."""

    @initialize(max_attempts=st.sampled_from([2, 4]), version=st.sampled_from([0, 1]))
    def set_up(self, max_attempts, version):
        """Stores the configuration and the workflow, and starts the first runs."""
        self.max_attempts = max_attempts
        self.leader.begin_long_ago()
        self.run(self.leader.propose(SetStateVersion(version=version)))
        self.run(self.leader.propose(PutDocument(document=make_document(max_attempts=max_attempts))))
        for name in VMS:
            self.run(self.leader.propose(make_vm(name, rack=f"rack of {name}")))
        step = {"count": 2, "cpu_millis": 200, "spread_limit": SPREAD_LIMIT}
        steps = (Step(**step, estimate_ms=TASK_MS, duplicates=True), Step(**step))
        self.run(self.leader.propose(make_workflow("w", steps=steps)))
        self.lead()
        self.poll("deliver")
        self.run_round("deliver")

    @rule(is_committed=st.booleans())
    def confirm_a_round_too_late(self, is_committed):
        """Runs a round whose starts are committed after the leader has given up waiting, or lost with its term."""
        self.leader.confirms = False
        with suppress(LeadershipLostError):
            self.run(self.dispatcher.run_round())
        if is_committed:
            self.leader.apply_unconfirmed()
            return
        is_lost = bool(self.leader.unconfirmed)
        self.leader.confirms = True
        self.leader.unconfirmed.clear()
        if is_lost:
            self.change_leader()

    @invariant()
    def spread_limit_holds(self):
        """No VM works on more tasks of a step than its spread limit allows, nor does the state say so."""
        for worker in self.workers.values():
            check_limit(worker.working())
        for vm in self.leader.state.tables.vms.values():
            check_limit(key.rpartition("/")[0] for key in vm.runs)


def check_limit(tasks):
    counts = Counter(TaskId.parse(task).step_name for task in tasks)
    assert all(count <= SPREAD_LIMIT for count in counts.values()), counts


TestSpreadProtocol = SpreadProtocol.TestCase
TestSpreadProtocol.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    derandomize=not os.environ.get("HYSSOPWAY_FRESH"),
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
