"""Enumerates short sequences of what a leader and two VMs say to each other about one task.

`HYSSOPWAY_DEPTH=5 pytest --timeout 3600 tests/dispatch/test_order_sequences.py` takes more kinds of actions than `make test`.
"""

from __future__ import annotations

import os
from contextlib import contextmanager
from dataclasses import fields

import pytest

from dispatch.test_order_protocol import VMS, OrderProtocol
from hyssopway.workflow import RunOutcome, Step

pytestmark = pytest.mark.usefixtures("silent_log")
# Number of actions, the start among them.
DEPTH = int(os.environ.get("HYSSOPWAY_DEPTH", "5"))
RECOVERY_DEPTH = DEPTH - 3
STEP_S = 0.5
# A task has to get a run within 3 s, after 4 s without a disruption.
CALM_STEPS = int(4.0 / STEP_S)
WAITING_STEPS = int(3.0 / STEP_S)


class OneTask(OrderProtocol):
    """A workflow of one task, which starts on the first VM; its later runs are placed on the second one."""

    steps = (Step(count=1),)

    def begin(self):
        """Leaves the start to the sequence."""

    def list_runs_and_place(self, stop_fault):
        """Polls both VMs, with a fault of the stops that follow, and places a later run on the second VM."""
        self.network.stop_fault = stop_fault
        self.poll(VMS, "deliver")
        self.network.stop_fault = None
        self.run_round("deliver", "vm-2")

    @property
    def progress(self):
        return self.workflow.progress[0][0]

    def is_served(self):
        """Returns whether the task works, or needs no run."""
        return self.workflow.status.is_final or any(worker.working() for worker in self.workers.values())

    def check_recovery(self):
        """The task has a run again, soon after the last disruption."""
        served = []
        for _ in range(CALM_STEPS + WAITING_STEPS):
            self.advance(STEP_S)
            self.list_runs_and_place("deliver")
            self.check()
            served.append(self.is_served())
        assert any(served[CALM_STEPS:])

    def check(self):
        self.no_task_runs_twice()
        self.done_tasks_stay_done()
        self.attempts_are_bounded()

    def fingerprint(self):
        """Returns all that later messages depend on, with times relative to the present."""
        tables, now, term = self.leader.state.tables, self.leader.now, self.leader.term
        runs = [
            (run.key, run.vm, run.boot, run.fencing_token - term, run.is_moved)
            for runs in tables.runs.values()
            for run in runs
        ]
        progress = self.progress
        task = (str(progress.last_run), str(progress.failures), str(progress.done), str(progress.pending))
        vms = [
            (vm.boot, vm.last_end, sorted(vm.runs), sorted(vm.lapsed)) for _, vm in sorted(tables.vms.items())
        ]
        links = [self._describe_link(link, now=now) for _, link in sorted(self.links.items())]
        workers = [self._describe_worker(worker, term=term) for _, worker in sorted(self.workers.items())]
        late = [(one.worker.name, one.boot, one.text, one.age_s) for one in self.network.delayed]
        started = round(now - self.leader.started_at, 2)
        answered = sorted(self.network.answered)
        return repr((self.workflow.status, runs, task, vms, links, workers, late, started, answered))

    def _describe_link(self, link, *, now):
        orders = link.orders
        late = orders.late_starts.store.find(link.vm_id, now=now)
        return (
            (link.boot, link.has_acked_term, sorted(link.listed_runs), sorted(orders.unanswered_starts)),
            (_since(now, link.answered_at), _since(now, link.lease.expires_at)),
            (_since(now, link.term_acked_at), _since(now, orders.unreachable_since)),
            (link.poll_timing.consecutive_losses, _since(now, link.listing_sent_at)),
            [(key, _describe_times(state, now=now)) for key, state in sorted(orders.order_states.items())],
            [(key, _since(now, copy.sent_at)) for key, copy in sorted(late.items())],
        )

    def _describe_worker(self, worker, *, term):
        clock_ms = worker.clock_ms
        return (
            (worker.boot, worker.token - term, sorted(worker.live.items()), sorted(worker.closed.items())),
            [(task, run, round(at_ms - clock_ms)) for task, (run, at_ms) in worker.stopping.items()],
            (round(worker.lease_until_ms - clock_ms, -1), worker.count, str(worker.ends)),
        )


def _since(now, moment):
    return round(now - moment, 2)


def _describe_times(state, *, now):
    values = [getattr(state, field.name) for field in fields(state)]
    return [value if isinstance(value, bool) else _since(now, value) for value in values]


FIRST_FAULTS = ("deliver", "lose", "mute", "delay", "delay_first", "restart", "restart_mute")
ACTIONS = {
    "list": lambda model: model.list_runs_and_place("deliver"),
    "stop": lambda model: model.drain_vm("vm-1", "deliver"),
    "restart": lambda model: model.restart_vm("vm-1"),
    "late orders": lambda model: model.deliver_delayed(),
    "change of leader": lambda model: model.change_leader(),
    "4.5 s": lambda model: model.advance(4.5),
}
MORE_ACTIONS = {
    "list, stops are late": lambda model: model.list_runs_and_place("delay"),
    "list is lost": lambda model: model.poll(("vm-1",), "lose"),
    "list is not answered": lambda model: model.poll(("vm-1",), "mute"),
    "stop is late": lambda model: model.drain_vm("vm-1", "delay"),
    "end": lambda model: model.finish("vm-1", RunOutcome.DONE),
    "list is late": lambda model: model.poll(("vm-1",), "delay"),
    "0.7 s": lambda model: model.advance(0.7),
}


def replay(fault, names, actions):
    """Returns the model after the first start, with a fault of its order, and further actions."""
    model = OneTask()
    model.run_round(fault, "vm-1")
    with naming_sequence(fault, names):
        model.check()
        for name in names:
            actions[name](model)
            model.check()
    return model


@contextmanager
def naming_sequence(fault, names):
    try:
        yield
    except AssertionError as error:
        error.add_note("sequence: " + ", ".join([f"start ({fault})", *names]))
        raise


def explore(fault, *, actions, depth):
    """Yields one sequence of actions for each state that can be reached, with the model in that state."""
    seen = set()
    sequences = [()]
    for _ in range(depth):
        frontier = []
        for names in sequences:
            model = replay(fault, names, actions)
            fingerprint = model.fingerprint()
            if fingerprint not in seen:
                seen.add(fingerprint)
                frontier.append(names)
                yield names, model
            model.teardown()
        sequences = [(*names, name) for names in frontier for name in actions]


@pytest.mark.parametrize("fault", FIRST_FAULTS)
def test_short_sequences_of_messages_give_each_task_one_run(fault):
    """Guards against sequences that lead to two runs of a task (TWICE), or to none once all answer again (LOST)."""
    actions = {**ACTIONS, **MORE_ACTIONS} if "HYSSOPWAY_DEPTH" in os.environ else ACTIONS
    for names, model in explore(fault, actions=actions, depth=DEPTH):
        if len(names) <= RECOVERY_DEPTH:
            with naming_sequence(fault, (*names, "all answer")):
                model.check_recovery()
