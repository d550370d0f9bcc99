"""Tests the disruption allowance of long-running tasks."""

from __future__ import annotations

import pytest

from hyssopway.dispatch.interruption import may_interrupt
from hyssopway.workflow import (
    AcceptWorkflow,
    PutDocument,
    RunStart,
    StartRuns,
    Step,
    TaskId,
    WorkflowSpec,
    WorkflowState,
)
from workflow.conftest import Log, make_document, make_vm


@pytest.fixture
def allowance():
    return 2


@pytest.fixture
def tables(allowance):
    log = Log(WorkflowState())
    log.apply(PutDocument(document=make_document()))
    log.apply(make_vm("vm-1"))
    step = Step(count=4, long_running=True, disruption_allowance=allowance)
    spec = WorkflowSpec(specification="", steps=(step,))
    log.apply(AcceptWorkflow(workflow_id="w", queue="plans", team="pantry", spec=spec, at_ms=0))
    starts = tuple(RunStart(task=f"w.0.0.{number}", run=1, vm="vm-1") for number in range(4))
    log.apply(StartRuns(fencing_token=1, starts=starts))
    return log.state.tables


@pytest.mark.parametrize(
    ("away", "allowed"),
    [((), True), (("w.0.0.1/1",), True), (("w.0.0.1/1", "w.0.0.2/1"), False)],
)
def test_allowance_counts_other_tasks_that_are_down(tables, away, allowed):
    """Guards against interrupting a task while other tasks of its step are still down."""
    task = TaskId("w", 0, 0, 0)
    assert may_interrupt(tables=tables, task=task, is_working=lambda key: key not in away) is allowed


@pytest.mark.parametrize(("allowance", "allowed"), [(0, False), (1, True), (None, True)])
def test_allowance_of_zero_forbids_interruptions(tables, allowed):
    """Guards against an allowance of 0 that is taken for a step without an allowance, which may miss one task."""
    assert may_interrupt(tables=tables, task=TaskId("w", 0, 0, 0), is_working=lambda _: True) is allowed
