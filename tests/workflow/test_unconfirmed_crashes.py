"""Ends of VMs that count under a task although it is not known whether its start had reached them."""

from __future__ import annotations

import json

import pytest

from hyssopway.workflow import (
    EndRuns,
    RunEnd,
    RunOutcome,
    RunStart,
    StartRuns,
    Step,
    WorkflowState,
    WorkflowStatus,
    encode_command,
)
from workflow.conftest import make_vm, make_workflow

TASK = "w.0.0.0"


@pytest.fixture
def workflow_log(log):
    log.apply(make_workflow("w", steps=(Step(count=1),)))
    return log


def end_vm(log, *, run, is_confirmed, lapses=False):
    """Starts a run on a boot of its own, and ends the boot."""
    key = f"{TASK}/{run}"
    unconfirmed = () if is_confirmed else (key,)
    log.apply(StartRuns(fencing_token=1, starts=(RunStart(task=TASK, run=run, vm="vm-1"),), at_ms=1))
    outcome = RunOutcome.LAPSED if lapses else RunOutcome.LOST
    end = EndRuns(
        vm="vm-1",
        boot=run,
        ends=(RunEnd(task=TASK, run=run, outcome=outcome),),
        at_ms=2,
        boot_ended=not lapses,
        lost_at_work=(key,),
        unconfirmed=unconfirmed,
    )
    log.apply(end)
    log.apply(make_vm("vm-1", boot=run + 1))


def find_status(log):
    return log.state.tables.workflows["w"].status


@pytest.mark.parametrize("lapses", [False, True])
def test_ends_under_starts_that_may_not_have_arrived_fail_no_workflow(workflow_log, lapses):
    """Guards against a job that is shown as failed although at most one VM ended while it ran its task (LOST)."""
    end_vm(workflow_log, run=1, is_confirmed=True)
    for run in (2, 3):
        end_vm(workflow_log, run=run, is_confirmed=False, lapses=lapses)
    assert find_status(workflow_log) is WorkflowStatus.RUNNING
    assert workflow_log.state.indexes.suspects.level(TASK) == 3


def test_second_confirmed_end_fails_the_workflow(workflow_log):
    """Guards against a task that crashes further VMs because some ends under it were unconfirmed (BUDGET)."""
    for run, is_confirmed in ((1, False), (2, True), (3, True)):
        assert find_status(workflow_log) is not WorkflowStatus.FAILED
        end_vm(workflow_log, run=run, is_confirmed=is_confirmed)
    assert find_status(workflow_log) is WorkflowStatus.FAILED


@pytest.mark.parametrize("is_fourth_confirmed", [False, True])
def test_unconfirmed_third_end_does_not_decide(workflow_log, is_fourth_confirmed):
    """Guards against a job that is given up by the end of a VM that may never have had its task (LOST)."""
    for run, is_confirmed in ((1, True), (2, True), (3, False)):
        end_vm(workflow_log, run=run, is_confirmed=is_confirmed)
    assert find_status(workflow_log) is WorkflowStatus.RUNNING
    end_vm(workflow_log, run=4, is_confirmed=is_fourth_confirmed)
    assert find_status(workflow_log) is WorkflowStatus.FAILED


def test_fourth_end_fails_the_workflow_without_a_confirmed_one(workflow_log):
    """Guards against a task that crashes VM after VM before any of them answers its start (BUDGET)."""
    for run in (1, 2, 3, 4):
        assert find_status(workflow_log) is not WorkflowStatus.FAILED
        end_vm(workflow_log, run=run, is_confirmed=False)
    assert find_status(workflow_log) is WorkflowStatus.FAILED


def remove_field(value, name):
    """Removes a field from decoded JSON, as an earlier release wrote it."""
    if isinstance(value, dict):
        return {key: remove_field(item, name) for key, item in value.items() if key != name}
    if isinstance(value, list):
        return [remove_field(item, name) for item in value]
    return value


def test_logs_and_snapshots_without_unconfirmed_ends_are_decoded(workflow_log):
    """Guards against a release that cannot start on the data of the one before."""
    end_vm(workflow_log, run=1, is_confirmed=True)
    data = json.dumps(remove_field(json.loads(workflow_log.state.encode_snapshot()), "unconfirmed"))
    restored = WorkflowState()
    restored.restore_snapshot(data.encode())
    assert restored.tables == workflow_log.state.tables
    command = EndRuns(vm="vm-1", boot=2, ends=(), at_ms=3, boot_ended=True)
    entry = json.dumps(remove_field(json.loads(encode_command(command)), "unconfirmed"))
    index = workflow_log.state.applied_index + 1
    workflow_log.state.apply(index=index, data=entry.encode())
    assert workflow_log.state.applied_index == index
