"""The version of the replicated state."""

from __future__ import annotations

import json

from hyssopway.workflow import SetStateVersion, WorkflowState


def test_version_of_the_state_never_falls(log):
    """Guards against a late command of an earlier leader that brings back rules of an earlier version."""
    log.apply(SetStateVersion(version=2))
    log.apply(SetStateVersion(version=1))
    assert log.state.tables.version == 2


def test_snapshot_keeps_the_version(log):
    """Guards against a member that applies other rules than the others after it restored a snapshot."""
    log.apply(SetStateVersion(version=1))
    restored = WorkflowState()
    restored.restore_snapshot(log.state.encode_snapshot())
    assert restored.tables.version == 1


def test_snapshot_of_a_release_without_versions_has_version_zero(log):
    """Guards against a member that can't restore a snapshot of an earlier release, or applies new rules after it."""
    tables = json.loads(log.state.encode_snapshot())
    del tables["version"]
    restored = WorkflowState()
    restored.restore_snapshot(json.dumps(tables).encode())
    assert restored.tables.version == 0
