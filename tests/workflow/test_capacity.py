"""Capacity of VMs that reject no start beyond it."""

from __future__ import annotations

import pytest

from hyssopway.workflow import PutDocument, RunStart, StartRuns
from workflow.conftest import make_document, make_vm, make_workflow


@pytest.mark.parametrize(("guards_capacity", "started"), [(False, 1), (True, 2)])
def test_start_that_was_placed_before_a_vm_shrank_is_skipped(log, guards_capacity, started):
    """Guards against a start that exceeds the capacity because the VM announced less before it was committed."""
    log.apply(PutDocument(document=make_document(version=2, guards_capacity=guards_capacity)))
    log.apply(make_workflow("w"))
    log.apply(make_vm("vm-1", cores=1, sequence=1))
    starts = tuple(RunStart(task=f"w.0.0.{number}", run=1, vm="vm-1") for number in range(2))
    log.apply(StartRuns(fencing_token=1, starts=starts, at_ms=1))
    assert len(log.state.tables.runs) == started


def test_late_announcement_does_not_overwrite_a_newer_one(log):
    """Guards against a capacity that grows or shrinks back because announcements overtook each other."""
    log.apply(make_vm("vm-1", cores=2, sequence=6))
    log.apply(make_vm("vm-1", cores=8, sequence=5))
    assert log.state.tables.vms["vm-1"].capacity.cpu_millis == 2000
    log.apply(make_vm("vm-1", boot=2, cores=8, sequence=1))
    assert log.state.tables.vms["vm-1"].capacity.cpu_millis == 8000
