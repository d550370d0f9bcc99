"""Rules that hold when a command is applied, whoever proposed it."""

from __future__ import annotations

import pytest

from hyssopway.workflow import (
    AddOccurrence,
    CancelWorkflow,
    DeleteWorkflows,
    EndRuns,
    PutDocument,
    RemoveVm,
    RunEnd,
    RunOutcome,
    RunStart,
    SetZoneEvacuated,
    StartRuns,
    Step,
    WorkflowState,
    WorkflowStatus,
)
from workflow.conftest import Log, make_document, make_vm, make_workflow


def start(log, task, *, run=1, vm="vm-1", token=1):
    log.apply(StartRuns(fencing_token=token, starts=(RunStart(task=task, run=run, vm=vm),)))


def end(log, task, outcome, *, run=1, vm="vm-1", boot=1, number=0, checkpoint=""):
    ends = (RunEnd(task=task, run=run, outcome=outcome, checkpoint=checkpoint),)
    log.apply(EndRuns(vm=vm, boot=boot, ends=ends, at_ms=9, last_end=number))


def status(log, name="w"):
    return log.state.tables.workflows[name].status


def test_entry_that_cannot_be_applied_holds_up_nothing(log, monkeypatch):
    """Guards against one entry of the log that stops every member, again after each restart."""

    def fail(*_):
        raise KeyError("w")

    with monkeypatch.context() as patch:
        patch.setattr("hyssopway.workflow.apply_workflows.start_runs", fail)
        start(log, "w.0.0.0")
    log.apply(make_workflow("w"))
    assert status(log) is WorkflowStatus.QUEUED


def test_workflow_completes_when_all_steps_are_done(log):
    """Guards against a workflow shown as completed too early or never."""
    log.apply(make_workflow("w"))
    for task in ("w.0.0.0", "w.0.0.1", "w.0.1.0"):
        assert status(log) is not WorkflowStatus.COMPLETED
        start(log, task)
        end(log, task, RunOutcome.DONE)
    assert status(log) is WorkflowStatus.COMPLETED
    assert not log.state.tables.runs


def test_only_workflows_without_runs_are_forgotten(log):
    """Guards against a run without its workflow, and against an open workflow that is lost."""
    for name in ("done", "open", "running"):
        log.apply(make_workflow(name))
    for task in ("done.0.0.0", "done.0.0.1", "done.0.1.0"):
        start(log, task)
        end(log, task, RunOutcome.DONE)
    start(log, "running.0.0.0")
    log.apply(CancelWorkflow(workflow_id="running", at_ms=5))
    log.apply(DeleteWorkflows(workflow_ids=("done", "open", "running", "unknown")))
    assert set(log.state.tables.workflows) == {"open", "running"}
    end(log, "running.0.0.0", RunOutcome.STOPPED)
    log.apply(DeleteWorkflows(workflow_ids=("running",)))
    assert set(log.state.tables.workflows) == {"open"}


def test_second_acceptance_changes_nothing(log):
    """Guards against a resent hand-in that resets the progress of a workflow."""
    log.apply(make_workflow("w"))
    start(log, "w.0.0.0")
    log.apply(make_workflow("w"))
    assert status(log) is WorkflowStatus.RUNNING
    assert "w.0.0.0" in log.state.tables.runs


@pytest.mark.parametrize(
    "spoil",
    [
        pytest.param(lambda log: end(log, "w.0.0.0", RunOutcome.DONE), id="task done"),
        pytest.param(lambda log: log.apply(CancelWorkflow(workflow_id="w", at_ms=1)), id="cancelled"),
        pytest.param(lambda log: log.apply(make_vm("vm-2", draining=True)), id="VM drains"),
        pytest.param(
            lambda log: log.apply(SetZoneEvacuated(zone="nashua", evacuated=True)), id="zone evacuated"
        ),
        pytest.param(lambda log: log.apply(RemoveVm(vm="vm-2", boot=1, at_ms=1)), id="VM gone"),
        pytest.param(lambda _: None, id="run in progress"),
    ],
)
def test_start_that_is_not_allowed_any_more_is_left_out(log, spoil):
    """Guards against a start that was decided before something else was agreed."""
    log.apply(make_workflow("w"))
    start(log, "w.0.0.0")
    spoil(log)
    before = {run.key for runs in log.state.tables.runs.values() for run in runs}
    start(log, "w.0.0.0", run=2, vm="vm-2")
    after = {run.key for runs in log.state.tables.runs.values() for run in runs}
    assert after == before


def test_start_after_the_end_of_a_run_that_failed(log):
    """Guards against a task that is never tried again."""
    log.apply(make_workflow("w"))
    start(log, "w.0.0.0")
    end(log, "w.0.0.0", RunOutcome.FAILED)
    start(log, "w.0.0.0", run=2)
    assert [run.key for run in log.state.tables.runs["w.0.0.0"]] == ["w.0.0.0/2"]


def test_workflow_fails_after_its_attempts(log):
    """Guards against more failed runs than the queue allows."""
    log.apply(make_workflow("w"))
    for run in (1, 2):
        start(log, "w.0.0.0", run=run)
        end(log, "w.0.0.0", RunOutcome.FAILED, run=run)
    assert status(log) is WorkflowStatus.FAILED


@pytest.mark.parametrize("outcome", [RunOutcome.STOPPED, RunOutcome.LAPSED, RunOutcome.LOST])
def test_only_failures_count_as_attempts(log, outcome):
    """Guards against a workflow that fails because of faults of the system."""
    log.apply(make_workflow("w"))
    for run in range(1, 6):
        start(log, "w.0.0.0", run=run)
        end(log, "w.0.0.0", outcome, run=run)
    assert status(log) is WorkflowStatus.RUNNING


def test_long_running_task_waits_again_however_it_ends(log):
    """Guards against a long-running task that is taken as done or failed."""
    log.apply(make_workflow("w", steps=(Step(count=1, long_running=True),)))
    for run, outcome in enumerate((RunOutcome.DONE, RunOutcome.FAILED, RunOutcome.FAILED), start=1):
        start(log, "w.0.0.0", run=run)
        end(log, "w.0.0.0", outcome, run=run)
        assert log.state.tables.workflows["w"].progress[0][0].pending == {0}
    assert status(log) is WorkflowStatus.RUNNING


def test_end_of_another_boot_ends_nothing(log):
    """Guards against an end that belongs to a former life of the VM."""
    log.apply(make_workflow("w"))
    start(log, "w.0.0.0")
    end(log, "w.0.0.0", RunOutcome.DONE, boot=7)
    assert "w.0.0.0" in log.state.tables.runs


def test_new_boot_loses_the_runs_of_the_former(log):
    """Guards against tasks that wait for a VM that holds nothing of before."""
    log.apply(make_workflow("w"))
    start(log, "w.0.0.0")
    log.apply(make_vm("vm-1", boot=2))
    assert not log.state.tables.runs
    assert log.state.tables.vms["vm-1"].last_end == 0
    assert 0 in log.state.tables.workflows["w"].progress[0][0].pending


def test_late_announcement_of_a_former_boot_is_ignored(log):
    """Guards against a delayed announcement that arrives after its sender crashed."""
    log.apply(make_vm("vm-1", boot=2))
    log.apply(make_vm("vm-1", boot=1, draining=True))
    assert (log.state.tables.vms["vm-1"].boot, log.state.tables.vms["vm-1"].draining) == (2, False)


def test_draining_is_not_taken_back_within_a_boot(log):
    """Guards against new starts on a leaving VM after an announcement that was overtaken."""
    log.apply(make_vm("vm-1", draining=True))
    log.apply(make_vm("vm-1"))
    assert log.state.tables.vms["vm-1"].draining


def test_upper_limit_of_a_team_holds_at_apply(log):
    """Guards against two leaders that each see room below the limit."""
    log.apply(PutDocument(document=make_document(version=2, limit=1500)))
    log.apply(make_workflow("w"))
    start(log, "w.0.0.0")
    start(log, "w.0.0.1", vm="vm-2")
    assert list(log.state.tables.runs) == ["w.0.0.0"]
    end(log, "w.0.0.0", RunOutcome.DONE)
    start(log, "w.0.0.1", vm="vm-2")
    assert list(log.state.tables.runs) == ["w.0.0.1"]


def test_document_that_is_not_newer_changes_nothing(log):
    """Guards against an older configuration that arrives again."""
    log.apply(PutDocument(document=make_document(version=5)))
    log.apply(PutDocument(document=make_document(version=4, queues=("other",))))
    assert log.state.tables.document.version == 5
    assert log.state.indexes.find_queue(host="a.example", path="/plans/x").name == "plans"


def test_longest_prefix_wins():
    """Guards against a request that goes to a queue with a shorter prefix."""
    log = Log(WorkflowState())
    log.apply(PutDocument(document=make_document(queues=("plans", "plans/urgent"))))
    assert log.state.indexes.find_queue(host="a.example", path="/plans/urgent/x").name == "plans/urgent"
    assert log.state.indexes.find_queue(host="b.example", path="/plans/x") is None


def test_cancelled_workflow_leaves_unwanted_runs(log):
    """Guards against runs of a cancelled workflow that nobody stops."""
    log.apply(make_workflow("w"))
    start(log, "w.0.0.0")
    log.apply(CancelWorkflow(workflow_id="w", at_ms=1))
    assert log.state.indexes.runs_to_stop == {"w.0.0.0/1": "vm-1"}
    end(log, "w.0.0.0", RunOutcome.STOPPED)
    assert not log.state.indexes.runs_to_stop


def test_second_copy_of_a_done_task_is_unwanted(log):
    """Guards against copies that go on after the first one is done."""
    log.apply(make_workflow("w", steps=(Step(count=1, duplicates=True),)))
    start(log, "w.0.0.0", run=1)
    start(log, "w.0.0.0", run=2, vm="vm-2")
    end(log, "w.0.0.0", RunOutcome.DONE, run=2, vm="vm-2")
    assert log.state.indexes.runs_to_stop == {"w.0.0.0/1": "vm-1"}
    end(log, "w.0.0.0", RunOutcome.DONE, run=1)
    assert log.state.tables.workflows["w"].occurrences_done == 1


def test_checkpoint_is_kept_until_the_task_is_done(log):
    """Guards against work thrown away at a stop."""
    log.apply(make_workflow("w"))
    start(log, "w.0.0.0")
    end(log, "w.0.0.0", RunOutcome.STOPPED, checkpoint="half")
    assert log.state.tables.workflows["w"].progress[0][0].saved == {0: "half"}


def test_scheduled_workflow_completes_with_its_last_occurrence(log):
    """Guards against a schedule that ends with its first occurrence."""
    log.apply(make_workflow("w", steps=(Step(count=1),), repeat_count=2, start_at_ms=100, interval_ms=50))
    for occurrence in (0, 1):
        assert status(log) is not WorkflowStatus.COMPLETED
        log.apply(AddOccurrence(workflow_id="w", occurrence=occurrence))
        start(log, f"w.{occurrence}.0.0")
        end(log, f"w.{occurrence}.0.0", RunOutcome.DONE)
    assert status(log) is WorkflowStatus.COMPLETED


def test_snapshot_holds_everything(log):
    """Guards against state, or a view of it, that is lost with a snapshot."""
    log.apply(make_workflow("w"))
    start(log, "w.0.0.0")
    start(log, "w.0.0.1", vm="vm-2")
    end(log, "w.0.0.1", RunOutcome.STOPPED, vm="vm-2", number=4, checkpoint="half")
    log.apply(CancelWorkflow(workflow_id="w", at_ms=1))
    restored = WorkflowState()
    restored.restore_snapshot(log.state.encode_snapshot())
    assert restored.tables == log.state.tables
    assert restored.indexes.runs_to_stop == log.state.indexes.runs_to_stop
    assert restored.indexes.team_usage["pantry"].cpu_millis == 1000
    assert restored.indexes.vm_usage["vm-1"].cpu_millis == 1000
    assert restored.indexes.team_by_key == {"key-1": "pantry"}


def test_unknown_entry_is_skipped(log):
    """Guards against a member that stops at an entry of a newer release."""
    log.state.apply(index=99, data=b'{"kind":"of a newer release"}')
    assert log.state.applied_index == 99
