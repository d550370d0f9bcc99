"""Capacity of VMs that reject no start beyond it."""

from __future__ import annotations

import pytest

from hyssopway.workflow import PutDocument, RunStart, StartRuns
from workflow.conftest import make_document, make_vm, make_workflow


def test_late_announcement_does_not_overwrite_a_newer_one(log):
    """Guards against a capacity that grows or shrinks back because announcements overtook each other."""
    log.apply(make_vm("vm-1", cores=2, sequence=6))
    log.apply(make_vm("vm-1", cores=8, sequence=5))
    assert log.state.tables.vms["vm-1"].capacity.cpu_millis == 2000
    log.apply(make_vm("vm-1", boot=2, cores=8, sequence=1))
    assert log.state.tables.vms["vm-1"].capacity.cpu_millis == 8000
