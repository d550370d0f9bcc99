"""Gangs: their members run together and end done together."""

from __future__ import annotations

import pytest

from hyssopway.workflow import (
    EndRuns,
    RemoveVm,
    RunEnd,
    RunOutcome,
    RunStart,
    StartRuns,
    Step,
    WorkflowStatus,
)
from workflow.conftest import make_workflow

STEPS = (Step(count=2, cpu_millis=1000, gang=True), Step(count=1, after=(0,)))
MEMBERS = {"w.0.0.0": "vm-1", "w.0.0.1": "vm-2"}


@pytest.fixture
def gang(log):
    """A workflow whose gang has a member on each VM."""
    log.apply(make_workflow("w", steps=STEPS))
    start_gang(log, run=1)
    return log.state.tables.workflows["w"]


def start_gang(log, *, run):
    starts = tuple(RunStart(task=task, run=run, vm=vm) for task, vm in MEMBERS.items())
    log.apply(StartRuns(fencing_token=1, starts=starts))


def end_member(log, task, outcome, *, run=1, completes_gangs=True):
    end = RunEnd(task=task, run=run, outcome=outcome)
    vm = MEMBERS[task]
    log.apply(EndRuns(vm=vm, boot=1, ends=(end,), at_ms=9, last_end=1, completes_gangs=completes_gangs))


def test_gang_is_done_although_the_vm_of_a_member_is_lost_before_it_reports_the_end(log, gang):
    """Guards against a workflow that waits for ever for a member of a gang that has ended."""
    end_member(log, "w.0.0.0", RunOutcome.DONE)
    log.apply(RemoveVm(vm="vm-2", boot=1, at_ms=10))
    assert gang.is_step_ready(occurrence=0, step=1)
    assert gang.progress[0][0].pending == set()


def test_gang_is_done_although_the_vm_of_a_member_was_lost_before(log, gang):
    """Guards against the same when the crash is noticed before the other member's end."""
    log.apply(RemoveVm(vm="vm-2", boot=1, at_ms=8))
    end_member(log, "w.0.0.0", RunOutcome.DONE)
    assert gang.is_step_ready(occurrence=0, step=1)
    assert gang.progress[0][0].pending == set()


def test_member_that_still_runs_when_its_gang_is_done_is_stopped(log, gang):
    """Guards against a run that goes on, or starts again, after its gang has ended."""
    end_member(log, "w.0.0.0", RunOutcome.DONE)
    assert log.state.indexes.runs_to_stop == {"w.0.0.1/1": "vm-2"}
    end_member(log, "w.0.0.1", RunOutcome.STOPPED)
    start_gang(log, run=2)
    assert log.state.tables.runs == {}
    assert gang.progress[0][0].open_count == 0


@pytest.mark.parametrize(
    "outcome", [RunOutcome.FAILED, RunOutcome.BROKEN, RunOutcome.STOPPED, RunOutcome.ALONE]
)
def test_other_ends_of_a_member_do_not_complete_its_gang(log, gang, outcome):
    """Guards against steps that start before the gang that they depend on is done."""
    end_member(log, "w.0.0.0", outcome)
    assert gang.progress[0][0].open_count == 2
    assert gang.status is WorkflowStatus.RUNNING


def test_workflow_whose_last_step_is_a_gang_completes_with_the_first_reported_end(log):
    """Guards against a workflow that stays open after its last gang has ended."""
    log.apply(make_workflow("w", steps=STEPS[:1]))
    start_gang(log, run=1)
    end_member(log, "w.0.0.1", RunOutcome.DONE)
    assert log.state.tables.workflows["w"].status is WorkflowStatus.COMPLETED


def test_ends_that_an_earlier_release_logged_complete_single_members(log, gang):
    """Guards against replicas that reach different states from the same log during an upgrade."""
    end_member(log, "w.0.0.0", RunOutcome.DONE, completes_gangs=False)
    assert gang.progress[0][0].done == [True, False]
