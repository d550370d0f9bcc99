"""Rules of a placement that are checked again as the command of a start is applied."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hyssopway.workflow import (
    PLACEMENT_RULES_VERSION,
    EndRuns,
    PutDocument,
    Queue,
    RunEnd,
    RunOutcome,
    RunStart,
    SetStateVersion,
    StartRule,
    StartRuns,
    Step,
    WorkflowState,
)
from workflow.conftest import Log, make_document, make_vm, make_workflow


@pytest.fixture
def skipped(log):
    found = []
    log.state.on_starts_skipped = lambda items: found.extend((item.start.task, item.rule) for item in items)
    return found


@pytest.fixture
def rules(log):
    """A state whose version has the rules, with four VMs."""
    log.apply(SetStateVersion(version=PLACEMENT_RULES_VERSION))
    log.apply(make_vm("vm-3", labels=("b", "r1")))
    log.apply(make_vm("vm-4"))
    return log


def start(log, *rows):
    starts = tuple(RunStart(task=task, run=run, vm=vm) for task, run, vm in rows)
    log.apply(StartRuns(fencing_token=1, starts=starts))


def end(log, task, outcome, *, run=1, vm="vm-1"):
    ends = (RunEnd(task=task, run=run, outcome=outcome),)
    log.apply(EndRuns(vm=vm, boot=1, ends=ends, at_ms=9))


def submit(log, *steps):
    log.apply(make_workflow("w", steps=steps))


def running(log):
    return sorted((run.key, run.vm) for runs in log.state.tables.runs.values() for run in runs)


def test_second_task_of_a_spread_step_is_not_started_on_a_vm(rules, skipped):
    """Guards against two tasks of a spread step on one VM that two decisions of one leader gave it (ROUTE)."""
    submit(rules, Step(count=3, spread_limit=1))
    start(rules, ("w.0.0.0", 1, "vm-1"))
    start(rules, ("w.0.0.0", 1, "vm-2"), ("w.0.0.1", 1, "vm-1"), ("w.0.0.2", 1, "vm-2"))
    assert skipped == [("w.0.0.0", StartRule.RUN_NUMBER_IS_NEW), ("w.0.0.1", StartRule.SPREAD_LIMIT)]
    assert running(rules) == [("w.0.0.0/1", "vm-1"), ("w.0.0.2/1", "vm-2")]
    assert rules.state.tables.workflows["w"].progress[0][0].pending == {1}


def test_copy_of_a_run_counts_against_the_spread_limit(rules, skipped):
    """Guards against a copy that is started beside another task of its spread step (ROUTE)."""
    submit(rules, Step(count=2, spread_limit=1, duplicates=True))
    start(rules, ("w.0.0.0", 1, "vm-1"), ("w.0.0.1", 1, "vm-2"), ("w.0.0.0", 2, "vm-2"))
    assert skipped == [("w.0.0.0", StartRule.SPREAD_LIMIT)]


def test_run_that_is_to_be_stopped_counts_against_the_spread_limit(rules, skipped):
    """Guards against a task beside a run of its spread step that has lost to a copy and is still being stopped (ROUTE)."""
    submit(rules, Step(count=2, spread_limit=1, duplicates=True))
    start(rules, ("w.0.0.0", 1, "vm-1"), ("w.0.0.0", 2, "vm-2"))
    end(rules, "w.0.0.0", RunOutcome.DONE, run=2, vm="vm-2")
    assert rules.state.indexes.runs_to_stop == {"w.0.0.0/1": "vm-1"}
    start(rules, ("w.0.0.1", 1, "vm-1"))
    assert skipped == [("w.0.0.1", StartRule.SPREAD_LIMIT)]
    end(rules, "w.0.0.0", RunOutcome.STOPPED)
    start(rules, ("w.0.0.1", 1, "vm-1"))
    assert running(rules) == [("w.0.0.1/1", "vm-1")]


def test_steps_and_occurrences_have_a_spread_limit_each(rules, skipped):
    """Guards against starts that are skipped because another step or occurrence has a task on the VM."""
    submit(rules, *(Step(count=1, spread_limit=1) for _ in range(12)))
    start(rules, ("w.0.11.0", 1, "vm-1"), ("w.0.1.0", 1, "vm-1"), ("w.0.0.0", 1, "vm-1"))
    assert skipped == []


def test_task_is_not_started_on_a_vm_without_its_label(rules, skipped):
    """Guards against a task on a VM that was registered with other labels after the placement (ROUTE)."""
    submit(rules, Step(count=2, label="b"))
    start(rules, ("w.0.0.0", 1, "vm-1"), ("w.0.0.1", 1, "vm-3"))
    assert skipped == [("w.0.0.0", StartRule.LABEL)]


def make_moved_queue(version, *, pool):
    queue = Queue(name="plans", host="a.example", path_prefix="/plans/", pool=pool, max_attempts=2)
    return PutDocument(document=replace(make_document(version=version), queues=(queue,)))


def test_task_is_not_started_in_the_pool_that_its_queue_has_left(rules, skipped):
    """Guards against a start in the earlier pool of a queue that was committed after the document (ROUTE)."""
    submit(rules, Step(count=3))
    start(rules, ("w.0.0.0", 1, "vm-1"))
    rules.apply(make_moved_queue(2, pool="trucks"))
    start(rules, ("w.0.0.1", 1, "vm-1"))
    rules.apply(make_moved_queue(3, pool="vans"))
    start(rules, ("w.0.0.2", 1, "vm-1"))
    assert skipped == [("w.0.0.1", StartRule.POOL)]


def test_task_is_not_started_on_a_vm_that_has_left_its_pool(rules, skipped):
    """Guards against a start on a VM that announced another pool after the placement (ROUTE)."""
    submit(rules, Step(count=1))
    rules.apply(replace(make_vm("vm-1"), pool="trucks"))
    start(rules, ("w.0.0.0", 1, "vm-1"))
    assert skipped == [("w.0.0.0", StartRule.POOL)]


def test_step_does_not_start_before_those_that_it_comes_after(rules, skipped):
    """Guards against a start of a step whose earlier steps are not done."""
    submit(rules, Step(count=1), Step(count=1, after=(0,)))
    start(rules, ("w.0.1.0", 1, "vm-1"))
    assert skipped == [("w.0.1.0", StartRule.EARLIER_STEPS_ARE_DONE)]


GANG = Step(count=2, gang=True, cpu_millis=1000)


@pytest.mark.parametrize(
    ("step", "rows", "rule"),
    [
        pytest.param(
            GANG,
            [("w.0.0.0", 1, "vm-1"), ("w.0.0.1", 1, "vm-9")],
            StartRule.VM_IS_KNOWN,
            id="a VM has left",
        ),
        pytest.param(
            Step(count=2, gang=True, spread_limit=1),
            [("w.0.0.0", 1, "vm-1"), ("w.0.0.1", 1, "vm-1")],
            StartRule.SPREAD_LIMIT,
            id="two members on one VM",
        ),
        pytest.param(
            Step(count=2, gang=True, memory_mb=600),
            [("w.0.0.0", 1, "vm-1"), ("w.0.0.1", 1, "vm-1")],
            StartRule.VM_CAPACITY,
            id="no room for two members",
        ),
        pytest.param(
            Step(count=2, gang=True, cpu_millis=4000),
            [("w.0.0.0", 1, "vm-1"), ("w.0.0.1", 1, "vm-2")],
            StartRule.TEAM_LIMIT,
            id="limit of the team",
        ),
        pytest.param(GANG, [("w.0.0.0", 1, "vm-1")], StartRule.GANG_IS_WHOLE, id="a member is missing"),
        pytest.param(
            GANG,
            [("w.0.0.0", 1, "vm-1"), ("w.0.0.0", 1, "vm-2")],
            StartRule.GANG_IS_WHOLE,
            id="a member twice",
        ),
        pytest.param(
            GANG,
            [("w.0.0.0", 1, "vm-1"), ("w.0.0.1", 2, "vm-2")],
            StartRule.GANG_IS_WHOLE,
            id="members of two runs",
        ),
    ],
)
def test_gang_starts_as_a_whole_or_not_at_all(rules, skipped, step, rows, rule):
    """Guards against members of a gang that run alone because the others were skipped."""
    rules.apply(PutDocument(document=make_document(version=2, limit=7000, guards_capacity=False)))
    submit(rules, step)
    start(rules, *rows)
    assert running(rules) == []
    assert skipped == [(task, rule) for task, _, _ in rows]
    assert rules.state.tables.workflows["w"].progress[0][0].pending == {0, 1}
    assert rules.state.tables.workflows["w"].progress[0][0].last_run == [0, 0]


def test_gang_that_breaks_no_rule_starts_among_other_starts(rules, skipped):
    """Guards against a gang that never starts because its members are judged alone or with other steps."""
    submit(rules, GANG, Step(count=2))
    start(
        rules, ("w.0.0.0", 1, "vm-1"), ("w.0.1.0", 1, "vm-1"), ("w.0.0.1", 1, "vm-1"), ("w.0.1.1", 1, "vm-2")
    )
    assert skipped == []
    assert len(running(rules)) == 4


@pytest.mark.parametrize("step", [GANG, Step(count=2, long_running=True)], ids=["gang", "long-running"])
def test_gang_and_long_running_tasks_get_no_copy(rules, skipped, step):
    """Guards against a second run of a task that the placement never gives a copy."""
    submit(rules, replace(step, duplicates=True))
    start(rules, ("w.0.0.0", 1, "vm-1"), ("w.0.0.1", 1, "vm-2"))
    start(rules, ("w.0.0.0", 2, "vm-3"), ("w.0.0.1", 2, "vm-4"))
    rule = StartRule.COPY_IS_ALLOWED
    assert skipped == [("w.0.0.0", rule), ("w.0.0.1", rule)]


STARTS = (("w.0.0.0", 1, "vm-1"), ("w.0.0.1", 1, "vm-1"))
BROKEN_RULES = (
    Step(count=2, spread_limit=1),
    Step(count=2, label="c"),
    Step(count=2, gang=True, spread_limit=1),
)


@pytest.mark.parametrize("step", BROKEN_RULES, ids=["spread limit", "label", "gang"])
def test_rules_hold_from_the_entry_that_raises_the_version(log, skipped, step):
    """Guards against members of two releases that reach different states from the same entry."""
    submit(log, step)
    start(log, *STARTS)
    assert len(running(log)) == 2
    for task, _, _ in STARTS:
        end(log, task, RunOutcome.LOST)
    log.apply(SetStateVersion(version=PLACEMENT_RULES_VERSION))
    start(log, *((task, 2, vm) for task, _, vm in STARTS))
    assert len(running(log)) < 2
    assert skipped


def test_member_that_restored_a_snapshot_applies_the_same_rules(rules):
    """Guards against a member whose state differs after a snapshot because it counts runs in another way."""
    submit(rules, Step(count=3, spread_limit=1))
    start(rules, ("w.0.0.0", 1, "vm-1"))
    restored = WorkflowState()
    restored.restore_snapshot(rules.state.encode_snapshot())
    restored.applied_index = rules.state.applied_index
    other = Log(restored)
    for log in (rules, other):
        start(log, ("w.0.0.1", 1, "vm-1"), ("w.0.0.2", 1, "vm-2"))
    assert running(other) == running(rules) == [("w.0.0.0/1", "vm-1"), ("w.0.0.2/1", "vm-2")]
    assert restored.encode_snapshot() == rules.state.encode_snapshot()
