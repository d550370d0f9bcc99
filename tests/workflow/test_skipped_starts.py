"""Starts that are skipped as their command is applied, and the rule that is named for each."""

from __future__ import annotations

import pytest

from hyssopway.workflow import (
    CancelWorkflow,
    PutDocument,
    RunStart,
    SetZoneEvacuated,
    StartRule,
    StartRuns,
    Step,
)
from workflow.conftest import make_document, make_vm, make_workflow


@pytest.fixture
def skipped(log):
    found = []
    log.state.on_starts_skipped = found.extend
    return found


def start(log, *starts):
    rows = tuple(RunStart(task=task, run=run, vm=vm) for task, run, vm in starts)
    log.apply(StartRuns(fencing_token=1, starts=rows))


@pytest.mark.parametrize(
    ("row", "rule"),
    [
        (("unknown.0.0.0", 1, "vm-1"), StartRule.WORKFLOW_IS_OPEN),
        (("cancelled.0.0.0", 1, "vm-1"), StartRule.WORKFLOW_IS_OPEN),
        (("w.0.0.1", 1, "vm-9"), StartRule.VM_IS_KNOWN),
        (("w.0.0.1", 1, "vm-2"), StartRule.VM_ACCEPTS_STARTS),
        (("w.0.0.1", 1, "vm-3"), StartRule.VM_ACCEPTS_STARTS),
        (("w.7.0.1", 1, "vm-1"), StartRule.OCCURRENCE_IS_DUE),
        (("w.0.0.0", 1, "vm-1"), StartRule.RUN_NUMBER_IS_NEW),
        (("w.0.0.0", 2, "vm-4"), StartRule.COPY_IS_ALLOWED),
        (("copied.0.0.0", 2, "vm-1"), StartRule.ONE_RUN_OF_TASK_ON_VM),
        (("w.0.0.1", 1, "vm-5"), StartRule.VM_CAPACITY),
        (("w.0.0.1", 1, "vm-1"), None),
    ],
)
def test_broken_rule_is_named(log, skipped, row, rule):
    """Guards against a committed start that never reaches its VM and leaves no trace of the reason."""
    log.apply(PutDocument(document=make_document(version=2, guards_capacity=False)))
    for vm in (make_vm("vm-2", draining=True, boot=2), make_vm("vm-3", zone="keene"), make_vm("vm-4")):
        log.apply(vm)
    log.apply(make_vm("vm-5", cores=0))
    log.apply(SetZoneEvacuated(zone="keene", evacuated=True))
    for workflow in (
        make_workflow("w"),
        make_workflow("cancelled"),
        make_workflow("copied", steps=(Step(count=1, duplicates=True),)),
    ):
        log.apply(workflow)
    log.apply(CancelWorkflow(workflow_id="cancelled", at_ms=6))
    start(log, ("w.0.0.0", 1, "vm-1"), ("copied.0.0.0", 1, "vm-1"))
    assert skipped == []
    start(log, row)
    assert [(item.start.task, item.rule) for item in skipped] == ([(row[0], rule)] if rule else [])


def test_start_beyond_the_upper_limit_of_the_team_names_the_limit(log, skipped):
    """Guards against a start that is skipped for the limit of its team without a trace."""
    log.apply(PutDocument(document=make_document(version=2, limit=1000)))
    log.apply(make_workflow("w"))
    start(log, ("w.0.0.0", 1, "vm-1"), ("w.0.0.1", 1, "vm-2"))
    assert [(item.start.task, item.rule) for item in skipped] == [("w.0.0.1", StartRule.TEAM_LIMIT)]
