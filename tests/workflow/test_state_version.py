"""The version of the replicated state."""

from __future__ import annotations

import json

import pytest

from hyssopway.result import UnsupportedVersionError
from hyssopway.workflow import CURRENT_VERSION, SetStateVersion, WorkflowState
from workflow.conftest import make_workflow


def test_version_of_the_state_never_falls(log):
    """Guards against a late command of an earlier leader that brings back rules of an earlier version."""
    log.apply(SetStateVersion(version=CURRENT_VERSION))
    log.apply(SetStateVersion(version=CURRENT_VERSION - 1))
    log.apply(SetStateVersion(version=CURRENT_VERSION))
    assert log.state.tables.version == CURRENT_VERSION


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


def test_command_of_a_later_version_is_not_applied(log):
    """Guards against a member that goes on with the rules of its release after the others have changed to later ones."""
    index = log.state.applied_index
    with pytest.raises(UnsupportedVersionError, match=f"version {CURRENT_VERSION + 1}"):
        log.apply(SetStateVersion(version=CURRENT_VERSION + 1))
    assert (log.state.tables.version, log.state.applied_index) == (0, index)


@pytest.mark.parametrize("changes", [{}, {"runs": "in another form"}], ids=["same form", "another form"])
def test_snapshot_of_a_later_version_is_not_restored(log, changes):
    """Guards against a member that takes a state whose rules it does not know, or fails again at each attempt."""
    log.apply(make_workflow("w"))
    tables = json.loads(log.state.encode_snapshot()) | {"version": CURRENT_VERSION + 1} | changes
    state = WorkflowState()
    with pytest.raises(UnsupportedVersionError, match=f"version {CURRENT_VERSION + 1}"):
        state.restore_snapshot(json.dumps(tables).encode())
    assert state.tables == WorkflowState().tables


def test_damaged_snapshot_is_no_later_version(log):
    """Guards against a member that waits for a later release because its snapshot is damaged."""
    tables = json.loads(log.state.encode_snapshot()) | {"runs": "in another form"}
    with pytest.raises(ValueError, match="runs"):
        WorkflowState().restore_snapshot(json.dumps(tables).encode())


def test_repeated_raise_changes_nothing(log):
    """Guards against a command that a leader repeats after a lost confirmation, or a new leader after its election."""
    log.apply(SetStateVersion(version=1))
    before = log.state.encode_snapshot()
    log.apply(SetStateVersion(version=1))
    assert log.state.encode_snapshot() == before
