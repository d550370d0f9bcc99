"""Checks that are made when a command is applied, whichever leader proposed it."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hyssopway.workflow import (
    LATE_FAILURES_VERSION,
    AddOccurrence,
    CancelWorkflow,
    DeleteWorkflows,
    EndRuns,
    PutDocument,
    RemoveVm,
    RunEnd,
    RunOutcome,
    RunStart,
    SetStateVersion,
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


def test_entry_that_fails_does_not_block_later_entries(log, monkeypatch):
    """Guards against an entry whose failure stops every member and does so again after each restart."""

    def fail(*_):
        raise KeyError("w")

    with monkeypatch.context() as patch:
        patch.setattr("hyssopway.workflow.apply_workflows.start_runs", fail)
        start(log, "w.0.0.0")
    log.apply(make_workflow("w"))
    assert status(log) is WorkflowStatus.QUEUED


def test_workflow_completes_when_all_steps_are_done(log):
    """Guards against a workflow that is reported as completed too early or never."""
    log.apply(make_workflow("w"))
    for task in ("w.0.0.0", "w.0.0.1", "w.0.1.0"):
        assert status(log) is not WorkflowStatus.COMPLETED
        start(log, task)
        end(log, task, RunOutcome.DONE)
    assert status(log) is WorkflowStatus.COMPLETED
    assert not log.state.tables.runs


def test_only_ended_workflows_without_runs_are_deleted(log):
    """Guards against deleting a workflow that has a run in progress or has not ended."""
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
    """Guards against a retried submission that resets the progress of a workflow."""
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
def test_start_that_is_no_longer_allowed_is_skipped(log, spoil):
    """Guards against a start that was proposed before another command made it invalid."""
    log.apply(make_workflow("w"))
    start(log, "w.0.0.0")
    spoil(log)
    before = {run.key for runs in log.state.tables.runs.values() for run in runs}
    start(log, "w.0.0.0", run=2, vm="vm-2")
    after = {run.key for runs in log.state.tables.runs.values() for run in runs}
    assert after == before


def test_failed_task_can_be_started_again(log):
    """Guards against a failed task that is never retried."""
    log.apply(make_workflow("w"))
    start(log, "w.0.0.0")
    end(log, "w.0.0.0", RunOutcome.FAILED)
    start(log, "w.0.0.0", run=2)
    assert [run.key for run in log.state.tables.runs["w.0.0.0"]] == ["w.0.0.0/2"]


def test_workflow_fails_after_the_maximum_number_of_attempts(log):
    """Guards against more failed runs of a task than the queue allows."""
    log.apply(make_workflow("w"))
    for run in (1, 2):
        start(log, "w.0.0.0", run=run)
        end(log, "w.0.0.0", RunOutcome.FAILED, run=run)
    assert status(log) is WorkflowStatus.FAILED


@pytest.mark.parametrize("outcome", [RunOutcome.STOPPED, RunOutcome.LAPSED, RunOutcome.LOST])
def test_only_failures_count_as_attempts(log, outcome):
    """Guards against a workflow that fails because the system stopped or lost its runs."""
    log.apply(make_workflow("w"))
    for run in range(1, 6):
        start(log, "w.0.0.0", run=run)
        end(log, "w.0.0.0", outcome, run=run)
    assert status(log) is WorkflowStatus.RUNNING


def test_long_running_task_is_pending_again_after_any_outcome(log):
    """Guards against a long-running task that counts as done or failed."""
    log.apply(make_workflow("w", steps=(Step(count=1, long_running=True),)))
    for run, outcome in enumerate((RunOutcome.DONE, RunOutcome.FAILED, RunOutcome.FAILED), start=1):
        start(log, "w.0.0.0", run=run)
        end(log, "w.0.0.0", outcome, run=run)
        assert log.state.tables.workflows["w"].progress[0][0].pending == {0}
    assert status(log) is WorkflowStatus.RUNNING


def test_end_reported_for_another_boot_is_ignored(log):
    """Guards against a reported end that belongs to another boot of the VM."""
    log.apply(make_workflow("w"))
    start(log, "w.0.0.0")
    end(log, "w.0.0.0", RunOutcome.DONE, boot=7)
    assert "w.0.0.0" in log.state.tables.runs


def test_runs_of_an_earlier_boot_are_lost(log):
    """Guards against tasks that wait for the end of a run that the restarted VM knows nothing of."""
    log.apply(make_workflow("w"))
    start(log, "w.0.0.0")
    log.apply(make_vm("vm-1", boot=2))
    assert not log.state.tables.runs
    assert log.state.tables.vms["vm-1"].last_end == 0
    assert 0 in log.state.tables.workflows["w"].progress[0][0].pending


def test_late_announcement_of_an_earlier_boot_is_ignored(log):
    """Guards against a delayed announcement that arrives after the VM has restarted."""
    log.apply(make_vm("vm-1", boot=2))
    log.apply(make_vm("vm-1", boot=1, draining=True))
    assert (log.state.tables.vms["vm-1"].boot, log.state.tables.vms["vm-1"].draining) == (2, False)


def test_vm_keeps_draining_until_its_next_boot(log):
    """Guards against new starts on a draining VM when announcements arrive out of order."""
    log.apply(make_vm("vm-1", draining=True))
    log.apply(make_vm("vm-1"))
    assert log.state.tables.vms["vm-1"].draining


def test_upper_limit_of_a_team_is_checked_on_apply(log):
    """Guards against two leaders that each see free capacity below the limit and together exceed it."""
    log.apply(PutDocument(document=make_document(version=2, limit=1500)))
    log.apply(make_workflow("w"))
    start(log, "w.0.0.0")
    start(log, "w.0.0.1", vm="vm-2")
    assert list(log.state.tables.runs) == ["w.0.0.0"]
    end(log, "w.0.0.0", RunOutcome.DONE)
    start(log, "w.0.0.1", vm="vm-2")
    assert list(log.state.tables.runs) == ["w.0.0.1"]


def test_document_with_an_older_version_is_ignored(log):
    """Guards against an older configuration that is committed late."""
    log.apply(PutDocument(document=make_document(version=5)))
    log.apply(PutDocument(document=make_document(version=4, queues=("other",))))
    assert log.state.tables.document.version == 5
    assert log.state.indexes.find_queue(host="a.example", path="/plans/x").name == "plans"


def test_queue_with_the_longest_matching_prefix_is_found():
    """Guards against a request that is routed to a queue with a shorter path prefix."""
    log = Log(WorkflowState())
    log.apply(PutDocument(document=make_document(queues=("plans", "plans/urgent"))))
    assert log.state.indexes.find_queue(host="a.example", path="/plans/urgent/x").name == "plans/urgent"
    assert log.state.indexes.find_queue(host="b.example", path="/plans/x") is None


def test_runs_of_a_cancelled_workflow_are_to_be_stopped(log):
    """Guards against runs of a cancelled workflow that are never stopped."""
    log.apply(make_workflow("w"))
    start(log, "w.0.0.0")
    log.apply(CancelWorkflow(workflow_id="w", at_ms=1))
    assert log.state.indexes.runs_to_stop == {"w.0.0.0/1": "vm-1"}
    end(log, "w.0.0.0", RunOutcome.STOPPED)
    assert not log.state.indexes.runs_to_stop


def test_second_run_of_a_done_task_is_to_be_stopped(log):
    """Guards against duplicate runs that continue after the first one is done."""
    log.apply(make_workflow("w", steps=(Step(count=1, duplicates=True),)))
    start(log, "w.0.0.0", run=1)
    start(log, "w.0.0.0", run=2, vm="vm-2")
    end(log, "w.0.0.0", RunOutcome.DONE, run=2, vm="vm-2")
    assert log.state.indexes.runs_to_stop == {"w.0.0.0/1": "vm-1"}
    end(log, "w.0.0.0", RunOutcome.DONE, run=1)
    assert log.state.tables.workflows["w"].occurrences_done == 1


@pytest.mark.parametrize("first", [1, 2])
def test_failure_of_the_run_that_lost_does_not_fail_the_workflow(log, first):
    """Guards against a completed task whose second run fails its workflow."""
    log.apply(PutDocument(document=make_document(version=2, max_attempts=3)))
    log.apply(make_workflow("w", steps=(Step(count=1, duplicates=True), Step(count=1, after=(0,)))))
    start(log, "w.0.0.0", run=1)
    start(log, "w.0.0.0", run=2, vm="vm-2")
    vms = {1: "vm-1", 2: "vm-2"}
    end(log, "w.0.0.0", RunOutcome.DONE, run=first, vm=vms[first])
    log.apply(PutDocument(document=make_document(version=3, max_attempts=1)))
    end(log, "w.0.0.0", RunOutcome.FAILED, run=3 - first, vm=vms[3 - first])
    assert status(log) is WorkflowStatus.RUNNING
    assert not log.state.tables.workflows["w"].progress[0][0].pending


@pytest.mark.parametrize(
    ("max_attempts", "vms", "expected"),
    [
        pytest.param(2, ("vm-1", "vm-2"), 2, id="copy"),
        pytest.param(1, ("vm-1", "vm-2"), 1, id="attempts may be used up"),
        pytest.param(9, ("vm-1", "vm-2", "vm-3"), 2, id="second copy"),
        pytest.param(9, ("vm-1", "vm-1"), 1, id="same VM"),
    ],
)
def test_copy_is_limited_when_it_is_applied(log, max_attempts, vms, expected):
    """Guards against a copy that another leader proposed and that exceeds the attempts or the number of runs."""
    log.apply(PutDocument(document=make_document(version=2, max_attempts=max_attempts)))
    log.apply(make_vm("vm-3"))
    log.apply(make_workflow("w", steps=(Step(count=1, duplicates=True),)))
    for run, vm in enumerate(vms, start=1):
        start(log, "w.0.0.0", run=run, vm=vm)
    assert len(log.state.tables.runs["w.0.0.0"]) == expected


def test_failure_reported_after_the_lease_expired_counts(log):
    """Guards against a start after the attempts were used up by a run that failed while its VM was silent."""
    log.apply(SetStateVersion(version=LATE_FAILURES_VERSION))
    log.apply(make_workflow("w", steps=(Step(count=1),)))
    start(log, "w.0.0.0", run=1)
    end(log, "w.0.0.0", RunOutcome.LAPSED, run=1)
    start(log, "w.0.0.0", run=2, vm="vm-2")
    end(log, "w.0.0.0", RunOutcome.FAILED, run=1, number=1)
    end(log, "w.0.0.0", RunOutcome.FAILED, run=2, vm="vm-2", number=1)
    start(log, "w.0.0.0", run=3, vm="vm-2")
    assert log.state.tables.runs == {}


def test_task_waits_again_after_its_last_run_ended(log):
    """Guards against a task that waits while a run of it is in progress, or never again."""
    log.apply(make_workflow("w", steps=(Step(count=1, duplicates=True),)))
    start(log, "w.0.0.0", run=1)
    start(log, "w.0.0.0", run=2, vm="vm-2")
    progress = log.state.tables.workflows["w"].progress[0][0]
    end(log, "w.0.0.0", RunOutcome.FAILED, run=2, vm="vm-2")
    assert not progress.pending
    end(log, "w.0.0.0", RunOutcome.LAPSED, run=1)
    assert progress.pending == {0}


def test_checkpoint_of_a_stopped_run_is_kept(log):
    """Guards against progress that is lost when a run is stopped."""
    log.apply(make_workflow("w"))
    start(log, "w.0.0.0")
    end(log, "w.0.0.0", RunOutcome.STOPPED, checkpoint="half")
    assert log.state.tables.workflows["w"].progress[0][0].saved == {0: "half"}


def test_scheduled_workflow_completes_with_its_last_occurrence(log):
    """Guards against a scheduled workflow that completes with its first occurrence."""
    log.apply(make_workflow("w", steps=(Step(count=1),), repeat_count=2, start_at_ms=100, interval_ms=50))
    for occurrence in (0, 1):
        assert status(log) is not WorkflowStatus.COMPLETED
        log.apply(AddOccurrence(workflow_id="w", occurrence=occurrence))
        start(log, f"w.{occurrence}.0.0")
        end(log, f"w.{occurrence}.0.0", RunOutcome.DONE)
    assert status(log) is WorkflowStatus.COMPLETED


def test_snapshot_restores_tables_and_indexes(log):
    """Guards against data or an index that is missing after a snapshot is restored."""
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


def test_unknown_command_is_skipped(log):
    """Guards against a member that stops at an entry written by a newer release."""
    log.state.apply(index=99, data=b'{"kind":"of a newer release"}')
    assert log.state.applied_index == 99


def test_usage_by_pool_equals_that_of_a_restored_snapshot(log):
    """Guards against shares computed from usage that a reboot, a lost VM or a change of pool has shifted."""

    def usage(state):
        return {
            pool: {team: (use.runs, use.cpu_millis, use.memory_mb) for team, use in teams.items()}
            for pool, teams in state.indexes.pool_usage.items()
            if teams
        }

    log.apply(make_workflow("w", steps=(Step(count=9, cpu_millis=100, memory_mb=5, fills=True),)))
    log.apply(make_workflow("v", steps=(Step(count=9, cpu_millis=1000),)))
    changes = [lambda n=n: start(log, f"{'wv'[n % 2]}.0.0.{n}", vm=f"vm-{1 + n // 4}") for n in range(8)]
    changes += [
        lambda: end(log, "w.0.0.0", RunOutcome.DONE),
        lambda: log.apply(replace(make_vm("vm-1"), pool="trucks")),
        lambda: end(log, "v.0.0.1", RunOutcome.FAILED),
        lambda: log.apply(make_vm("vm-2", boot=2)),
        lambda: start(log, "v.0.0.8", vm="vm-2"),
        lambda: log.apply(RemoveVm(vm="vm-1", boot=1, at_ms=1)),
    ]
    seen = []
    for change in changes:
        change()
        restored = WorkflowState()
        restored.restore_snapshot(log.state.encode_snapshot())
        assert usage(log.state) == usage(restored)
        seen.append(usage(log.state))
    assert seen[9] == {"trucks": {"pantry": (3, 2000, 5)}, "vans": {"pantry": (4, 2000, 10)}}
    assert seen[-1] == {"vans": {"pantry": (1, 1000, 0)}}
