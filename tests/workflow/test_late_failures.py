"""Failures that a VM reports after the lease of the run expired."""

from __future__ import annotations

import pytest

from hyssopway.workflow import (
    LATE_FAILURES_VERSION,
    CancelWorkflow,
    DeleteWorkflows,
    EndRuns,
    RunEnd,
    RunOutcome,
    RunStart,
    SetStateVersion,
    StartRuns,
    Step,
    WorkflowState,
    WorkflowStatus,
)
from workflow.conftest import Log, make_vm, make_workflow

TASK = "w.0.0.0"


def start(log, *, run=1, vm="vm-1"):
    log.apply(StartRuns(fencing_token=1, starts=(RunStart(task=TASK, run=run, vm=vm),)))


def lapse(log, *, run=1, vm="vm-1", boot=1):
    ends = (RunEnd(task=TASK, run=run, outcome=RunOutcome.LAPSED),)
    log.apply(EndRuns(vm=vm, boot=boot, ends=ends, at_ms=9))


def report(log, outcome=RunOutcome.FAILED, *, run=1, vm="vm-1", boot=1, number=1, task=TASK):
    ends = (RunEnd(task=task, run=run, outcome=outcome),)
    log.apply(EndRuns(vm=vm, boot=boot, ends=ends, at_ms=9, last_end=number))


def failures(log):
    return log.state.tables.workflows["w"].progress[0][0].failures


def status(log):
    return log.state.tables.workflows["w"].status


@pytest.fixture
def lapsed(log):
    """A task whose first run has lapsed on `vm-1`, with two attempts."""
    log.apply(SetStateVersion(version=LATE_FAILURES_VERSION))
    log.apply(make_workflow("w", steps=(Step(count=1),)))
    start(log)
    lapse(log)
    return log


def test_members_of_a_release_without_versions_reach_the_same_tables(log):
    """Guards against a failure that counts on some members only."""
    log.apply(make_workflow("w", steps=(Step(count=1),)))
    start(log)
    lapse(log)
    report(log)
    assert failures(log) == [0]
    assert log.state.tables.vms["vm-1"].unreported == set()


def test_run_that_lapsed_before_the_version_was_raised_does_not_count(log):
    """Guards against a member that remembers a run which the others do not."""
    log.apply(make_workflow("w", steps=(Step(count=1),)))
    start(log)
    lapse(log)
    log.apply(SetStateVersion(version=LATE_FAILURES_VERSION))
    report(log)
    assert failures(log) == [0]


def test_late_failure_counts_once(lapsed):
    """Guards against a job that is failed after one failure, since its report was committed twice."""
    for number in (1, 1, 2):
        report(lapsed, number=number)
    assert failures(lapsed) == [1]
    assert status(lapsed) is WorkflowStatus.RUNNING


def test_lease_that_expires_twice_counts_one_failure(lapsed):
    """Guards against a run that is remembered again by a repeated command of the leader."""
    report(lapsed)
    lapse(lapsed)
    report(lapsed, number=2)
    assert failures(lapsed) == [1]


def test_failure_reported_in_time_counts_once(lapsed):
    """Guards against a second count by a repeated report of a run that did not lapse."""
    start(lapsed, run=2)
    for number in (1, 1, 2):
        report(lapsed, run=2, number=number)
    assert failures(lapsed) == [1]


@pytest.mark.parametrize("outcome", [one for one in RunOutcome if one is not RunOutcome.FAILED])
def test_late_end_of_another_kind_does_not_count(lapsed, outcome):
    """Guards against a job that is failed by runs that did not fail, or by a second report of another kind."""
    report(lapsed, outcome)
    report(lapsed, number=2)
    assert failures(lapsed) == [0]
    assert lapsed.state.tables.vms["vm-1"].unreported == set()


def test_failure_on_another_boot_does_not_count(lapsed):
    """Guards against an end of the next boot that is taken for one of the boot that ended."""
    lapsed.apply(make_vm("vm-1", boot=2))
    report(lapsed, boot=1)
    report(lapsed, boot=2)
    assert failures(lapsed) == [0]


def test_announcement_of_the_same_boot_keeps_what_is_unreported(lapsed):
    """Guards against a failure that is forgotten as its VM announces that it drains."""
    lapsed.apply(make_vm("vm-1", draining=True, sequence=2))
    report(lapsed)
    assert failures(lapsed) == [1]


def test_late_failure_of_a_task_that_is_done_does_not_count(lapsed):
    """Guards against a job that fails after its task was done by another run."""
    start(lapsed, run=2, vm="vm-2")
    report(lapsed, RunOutcome.DONE, run=2, vm="vm-2")
    report(lapsed)
    assert failures(lapsed) == [0]
    assert status(lapsed) is WorkflowStatus.COMPLETED


def test_late_failure_of_a_long_running_task_does_not_count(log):
    """Guards against a long-running task that is given up, which has no limit of attempts."""
    log.apply(SetStateVersion(version=LATE_FAILURES_VERSION))
    log.apply(make_workflow("w", steps=(Step(count=1, long_running=True),)))
    for run in (1, 2):
        start(log, run=run)
        lapse(log, run=run)
        report(log, run=run, number=run)
    assert status(log) is not WorkflowStatus.FAILED


def test_late_failure_of_a_cancelled_workflow_changes_nothing(lapsed):
    """Guards against a cancelled job that is shown as failed."""
    lapsed.apply(CancelWorkflow(workflow_id="w", at_ms=9))
    report(lapsed)
    assert status(lapsed) is WorkflowStatus.CANCELLED
    assert failures(lapsed) == [0]


def test_late_failure_of_a_deleted_workflow_does_not_hold_up_other_ends(lapsed):
    """Guards against a command whose other ends are skipped because one of them names no known task."""
    lapsed.apply(CancelWorkflow(workflow_id="w", at_ms=9))
    lapsed.apply(DeleteWorkflows(workflow_ids=("w",)))
    lapsed.apply(make_workflow("x", steps=(Step(count=1),)))
    lapsed.apply(StartRuns(fencing_token=1, starts=(RunStart(task="x.0.0.0", run=1, vm="vm-1"),)))
    ends = tuple(RunEnd(task=task, run=1, outcome=RunOutcome.FAILED) for task in (TASK, "no task", "x.0.0.0"))
    lapsed.apply(EndRuns(vm="vm-1", boot=1, ends=ends, at_ms=9, last_end=3))
    assert lapsed.state.tables.runs == {}


def test_runs_of_ended_workflows_are_forgotten(lapsed):
    """Guards against a record of a VM that grows with each lease that expires."""
    lapsed.apply(CancelWorkflow(workflow_id="w", at_ms=9))
    lapsed.apply(make_workflow("x", steps=(Step(count=1),)))
    lapsed.apply(StartRuns(fencing_token=1, starts=(RunStart(task="x.0.0.0", run=1, vm="vm-1"),)))
    ends = (RunEnd(task="x.0.0.0", run=1, outcome=RunOutcome.LAPSED),)
    lapsed.apply(EndRuns(vm="vm-1", boot=1, ends=ends, at_ms=9))
    assert lapsed.state.tables.vms["vm-1"].unreported == {"x.0.0.0/1"}


def test_restored_member_counts_the_late_failure(lapsed):
    """Guards against a member that counts fewer failures than the others after it restored a snapshot."""
    restored = Log(WorkflowState())
    restored.state.restore_snapshot(lapsed.state.encode_snapshot())
    for log in (lapsed, restored):
        report(log)
    assert failures(restored) == [1]
    assert restored.state.encode_snapshot() == lapsed.state.encode_snapshot()
