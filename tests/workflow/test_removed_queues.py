"""Workflows whose queue is removed from the configuration while they run."""

from __future__ import annotations

import pytest

from hyssopway.workflow import (
    EndRuns,
    PutDocument,
    RunEnd,
    RunOutcome,
    RunStart,
    StartRuns,
    Step,
    WorkflowState,
    WorkflowStatus,
)
from workflow.conftest import Log, make_document, make_workflow


def fail_run(log, *, run):
    log.apply(StartRuns(fencing_token=1, starts=(RunStart(task="w.0.0.0", run=run, vm="vm-1"),)))
    end = RunEnd(task="w.0.0.0", run=run, outcome=RunOutcome.FAILED)
    log.apply(EndRuns(vm="vm-1", boot=1, ends=(end,), at_ms=9, last_end=run))


@pytest.mark.parametrize("is_restored", [False, True], ids=["same member", "from a snapshot"])
def test_workflow_keeps_its_attempts_while_its_queue_is_removed(log, is_restored):
    """Guards against a workflow that fails with its first failed run because its queue is missing for a while."""
    log.apply(make_workflow("w", steps=(Step(count=1),)))
    log.apply(PutDocument(document=make_document(version=2, queues=("others",))))
    if is_restored:
        restored = WorkflowState()
        restored.restore_snapshot(log.state.encode_snapshot())
        restored.applied_index = log.state.applied_index
        log = Log(restored)
    fail_run(log, run=1)
    assert log.state.tables.workflows["w"].status is WorkflowStatus.RUNNING
    fail_run(log, run=2)
    assert log.state.tables.workflows["w"].status is WorkflowStatus.FAILED
