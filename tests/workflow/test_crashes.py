"""Counts of the VMs that ended under a task."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hyssopway.workflow import (
    NO_CRASHES,
    PROBATION_MS,
    EndRuns,
    RemoveVm,
    RunEnd,
    RunOutcome,
    RunStart,
    SetStateVersion,
    StartRuns,
    Step,
    WorkflowState,
    WorkflowStatus,
)
from workflow.conftest import make_vm, make_workflow

TASK = "w.0.0.0"


def start(log, *, run, vm="vm-1", at_ms=1):
    log.apply(StartRuns(fencing_token=1, starts=(RunStart(task=TASK, run=run, vm=vm),), at_ms=at_ms))


def end_boot(log, *, run, boot, at_ms=2, tasks=(TASK,), just_started=(), holds_back=True):
    ends = tuple(RunEnd(task=task, run=run, outcome=RunOutcome.LOST) for task in tasks)
    command = EndRuns(
        vm="vm-1",
        boot=boot,
        ends=ends,
        at_ms=at_ms,
        boot_ended=True,
        lost_at_work=tuple(f"{task}/{run}" for task in tasks),
        just_started=just_started,
        holds_back=holds_back,
    )
    log.apply(command)


def lapse(log, *, run, boot):
    ends = (RunEnd(task=TASK, run=run, outcome=RunOutcome.LAPSED),)
    log.apply(EndRuns(vm="vm-1", boot=boot, ends=ends, at_ms=2, lost_at_work=(f"{TASK}/{run}",)))


def crashes(log):
    return log.state.tables.workflows["w"].progress[0][0].crashes.get(0, NO_CRASHES).total


def level(log):
    return log.state.indexes.suspects.level(TASK)


@pytest.fixture
def workflow_log(log):
    log.apply(make_workflow("w", steps=(Step(count=1),)))
    return log


def test_workflow_fails_after_three_crashes_under_a_task(workflow_log):
    """Guards against a task that is started for as often as its VMs crash."""
    log = workflow_log
    for boot in (1, 2, 3):
        assert log.state.tables.workflows["w"].status is not WorkflowStatus.FAILED
        start(log, run=boot)
        log.apply(make_vm("vm-1", boot=boot + 1))
    assert log.state.tables.workflows["w"].status is WorkflowStatus.FAILED
    start(log, run=4)
    assert log.state.tables.runs == {}
    assert level(log) == 0


def test_sound_task_that_was_lost_beside_other_suspects_is_not_given_up(log):
    """Guards against giving up a sound task because a deadly one was placed beside it again and again."""
    for name in ("w", "v"):
        log.apply(make_workflow(name, steps=(Step(count=1),)))
    for boot in (1, 2, 3):
        for task in ("w.0.0.0", "v.0.0.0"):
            starts = (RunStart(task=task, run=boot, vm="vm-1"),)
            log.apply(StartRuns(fencing_token=1, starts=starts, at_ms=1))
        log.apply(make_vm("vm-1", boot=boot + 1))
    assert crashes(log) == 3
    assert {one.status for one in log.state.tables.workflows.values()} == {WorkflowStatus.RUNNING}
    starts = (RunStart(task="v.0.0.0", run=4, vm="vm-1"),)
    log.apply(StartRuns(fencing_token=1, starts=starts, at_ms=1))
    log.apply(make_vm("vm-1", boot=5))
    statuses = {name: one.status for name, one in log.state.tables.workflows.items()}
    assert statuses == {"w": WorkflowStatus.RUNNING, "v": WorkflowStatus.FAILED}


def test_task_whose_vms_end_right_after_its_start_is_given_up_after_two(workflow_log):
    """Guards against a third VM that crashes although two have ended right after they started one task."""
    log = workflow_log
    for boot in (1, 2):
        assert log.state.tables.workflows["w"].status is not WorkflowStatus.FAILED
        start(log, run=boot)
        end_boot(log, run=boot, boot=boot, just_started=(f"{TASK}/{boot}",))
        log.apply(make_vm("vm-1", boot=boot + 1))
    assert log.state.tables.workflows["w"].status is WorkflowStatus.FAILED


def test_tasks_that_were_started_together_on_both_vms_are_not_given_up(log):
    """Guards against giving up a sound task that was started beside a deadly one on two VMs."""
    for name in ("w", "v"):
        log.apply(make_workflow(name, steps=(Step(count=1),)))
    tasks = (TASK, "v.0.0.0")
    for boot in (1, 2):
        starts = tuple(RunStart(task=task, run=boot, vm="vm-1") for task in tasks)
        log.apply(StartRuns(fencing_token=1, starts=starts, at_ms=1))
        keys = tuple(f"{task}/{boot}" for task in tasks)
        end_boot(log, run=boot, boot=boot, tasks=tasks, just_started=keys)
        log.apply(make_vm("vm-1", boot=boot + 1))
    assert {one.status for one in log.state.tables.workflows.values()} == {WorkflowStatus.RUNNING}


def test_task_that_had_worked_is_not_blamed_beside_one_that_just_started(log):
    """Guards against giving up a sound task that was lost with its VM three times, each time beside another cause."""
    log.apply(make_workflow("w", steps=(Step(count=1),)))
    for boot in (1, 2, 3):
        log.apply(make_workflow(f"v{boot}", steps=(Step(count=1),)))
        tasks = (TASK, f"v{boot}.0.0.0")
        log.apply(
            StartRuns(
                fencing_token=1,
                starts=tuple(RunStart(task=task, run=boot, vm="vm-1") for task in tasks),
                at_ms=1,
            )
        )
        end_boot(log, run=boot, boot=boot, tasks=tasks, just_started=(f"{tasks[1]}/{boot}",))
        log.apply(make_vm("vm-1", boot=boot + 1))
    assert crashes(log) == 3
    assert log.state.tables.workflows["w"].status is WorkflowStatus.RUNNING


def test_end_of_a_vm_whose_cause_is_known_counts_for_no_other_task(log):
    """Guards against suspecting the sound tasks that were lost with a task that is given up."""
    for name in ("w", "v"):
        log.apply(make_workflow(name, steps=(Step(count=1),)))
    start(log, run=1)
    end_boot(log, run=1, boot=1, just_started=(f"{TASK}/1",))
    log.apply(make_vm("vm-1", boot=2))
    tasks = (TASK, "v.0.0.0")
    starts = tuple(RunStart(task=task, run=2, vm="vm-1") for task in tasks)
    log.apply(StartRuns(fencing_token=1, starts=starts, at_ms=1))
    end_boot(log, run=2, boot=2, tasks=tasks, just_started=(f"{TASK}/2", "v.0.0.0/2"))
    assert log.state.tables.workflows["w"].status is WorkflowStatus.FAILED
    assert log.state.indexes.suspects.level("v.0.0.0") == 0


def test_crash_is_counted_once_however_often_it_is_noticed(workflow_log):
    """Guards against a sound task that is given up because one crash of its VM was noticed in several ways."""
    log = workflow_log
    start(log, run=1)
    lapse(log, run=1, boot=1)
    end_boot(log, run=1, boot=1)
    end_boot(log, run=1, boot=1)
    log.apply(make_vm("vm-1", boot=2))
    assert (crashes(log), level(log)) == (1, 1)


def test_silent_vm_counts_when_it_is_known_to_have_crashed(workflow_log):
    """Guards against a task whose crashes are never counted because its lease ends before its VM is back."""
    log = workflow_log
    start(log, run=1)
    lapse(log, run=1, boot=1)
    assert (crashes(log), level(log)) == (0, 1)
    log.apply(make_vm("vm-1", boot=2))
    assert (crashes(log), level(log)) == (1, 1)


def test_vm_that_was_only_cut_off_counts_as_no_crash(workflow_log):
    """Guards against giving up a sound task whose VMs were out of contact and work on."""
    log = workflow_log
    for run in (1, 2, 3, 4):
        start(log, run=run)
        lapse(log, run=run, boot=1)
        log.apply(EndRuns(vm="vm-1", boot=1, ends=(), at_ms=3, is_reported=True))
    assert (crashes(log), level(log)) == (0, 0)
    assert log.state.tables.workflows["w"].status is WorkflowStatus.RUNNING


@pytest.mark.parametrize("announced", ["draining", "removed"])
def test_announced_end_of_a_vm_is_no_crash(workflow_log, announced):
    """Guards against giving up a sound task because its VMs were drained or moved."""
    log = workflow_log
    start(log, run=1)
    if announced == "draining":
        log.apply(make_vm("vm-1", draining=True))
        log.apply(make_vm("vm-1", boot=2))
    else:
        log.apply(RemoveVm(vm="vm-1", boot=1, at_ms=2))
    assert (crashes(log), level(log)) == (0, 0)


def test_long_running_task_that_has_worked_is_no_suspect(log):
    """Guards against giving up a long-running task after some crashes of its VMs over days."""
    log.apply(make_workflow("w", steps=(Step(count=1, long_running=True),)))
    for boot in (1, 2, 3, 4):
        at_ms = boot * 10 * PROBATION_MS
        start(log, run=boot, at_ms=at_ms)
        end_boot(log, run=boot, boot=boot, at_ms=at_ms + PROBATION_MS + 1)
        log.apply(make_vm("vm-1", boot=boot + 1))
    assert (crashes(log), level(log)) == (0, 0)
    start(log, run=5, at_ms=1_000_000)
    end_boot(log, run=5, boot=5, at_ms=1_000_000 + PROBATION_MS)
    assert crashes(log) == 1


@pytest.mark.parametrize("is_at_start", [False, True], ids=["at work", "at start"])
def test_workflow_with_long_running_tasks_is_not_given_up_for_crashes(log, is_at_start):
    """Guards against tasks at work that are stopped because the VMs of another one crashed (AVAIL)."""
    log.apply(make_workflow("w", steps=(Step(count=2, long_running=True),)))
    log.apply(make_vm("vm-2"))
    other = RunStart(task="w.0.0.1", run=1, vm="vm-2")
    log.apply(StartRuns(fencing_token=1, starts=(other,), at_ms=1))
    for boot in range(1, 7):
        start(log, run=boot)
        just_started = (f"{TASK}/{boot}",) if is_at_start else ()
        end_boot(log, run=boot, boot=boot, just_started=just_started)
        log.apply(make_vm("vm-1", boot=boot + 1))
    assert log.state.tables.workflows["w"].status is WorkflowStatus.RUNNING
    assert (list(log.state.tables.runs), log.state.indexes.runs_to_stop) == (["w.0.0.1"], {})
    assert crashes(log) == 6


def test_entries_of_the_release_before_are_applied_as_it_did(log):
    """Guards against members whose states differ since some replay entries that others had applied before an upgrade."""
    log.apply(make_workflow("w", steps=(Step(count=1, long_running=True),)))
    for boot in (1, 2, 3):
        start(log, run=boot)
        end_boot(log, run=boot, boot=boot, holds_back=False)
        assert all(count.last_ms == 0 for count in log.state.indexes.suspects.crashes.values())
        log.apply(make_vm("vm-1", boot=boot + 1))
    assert log.state.tables.workflows["w"].status is WorkflowStatus.FAILED


def test_sound_long_running_task_excuses_no_task_that_crashes_its_vms(log):
    """Guards against a long-running task that takes the blame for the ends of VMs which another task crashed."""
    log.apply(make_workflow("w", steps=(Step(count=1, long_running=True),)))
    log.apply(make_workflow("v", steps=(Step(count=1),)))
    tasks = (TASK, "v.0.0.0")
    for boot in (1, 2, 3, 4):
        assert log.state.tables.workflows["v"].status is not WorkflowStatus.FAILED
        starts = tuple(RunStart(task=task, run=boot, vm="vm-1") for task in tasks)
        log.apply(StartRuns(fencing_token=1, starts=starts, at_ms=1))
        end_boot(log, run=boot, boot=boot, tasks=tasks)
        log.apply(make_vm("vm-1", boot=boot + 1))
    statuses = {name: one.status for name, one in log.state.tables.workflows.items()}
    assert statuses == {"w": WorkflowStatus.RUNNING, "v": WorkflowStatus.FAILED}


def test_suspects_survive_a_snapshot(workflow_log):
    """Guards against a member that forgets crashes when it restores a snapshot."""
    log = workflow_log
    start(log, run=1)
    log.apply(make_vm("vm-1", boot=2))
    start(log, run=2)
    lapse(log, run=2, boot=2)
    restored = WorkflowState()
    restored.restore_snapshot(log.state.encode_snapshot())
    assert restored.indexes.suspects.level(TASK) == level(log) == 2
    assert restored.tables == log.state.tables


@pytest.mark.parametrize(("version", "counted"), [(0, 2), (1, 1)])
def test_end_of_a_boot_that_is_committed_again_counts_once(workflow_log, version, counted):
    """Guards against a job that is given up for one end of a VM, as its replacement was lost and it ended again (LOST)."""
    log = workflow_log
    log.apply(SetStateVersion(version=version))
    start(log, run=1)
    kept = f"{TASK}/1"
    end = EndRuns(vm="vm-1", boot=1, ends=(), at_ms=2, boot_ended=True, lost_at_work=(kept,), holds_back=True)
    log.apply(end)
    log.apply(end)
    assert crashes(log) == counted
    log.apply(replace(make_vm("vm-1", boot=2), replaced_boot=1, kept_runs=(kept,)))
    log.apply(replace(end, boot=2))  # the start did reach the next boot, which has ended as well
    assert crashes(log) == counted + 1
