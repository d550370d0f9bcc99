"""Tests the retention of ended workflows."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from hyssopway.dispatch.retention import CHECK_INTERVAL_S, MAX_DELETIONS, SLACK_S, Retention
from hyssopway.workflow import WorkflowStatus

RETENTION_S = 120.0


def make_workflows(count, *, status):
    return {f"w{number}": SimpleNamespace(status=status) for number in range(count)}


@pytest.fixture
def retention():
    return Retention(retention_s=RETENTION_S)


def test_ended_workflow_is_kept_for_the_promised_time(retention):
    """Guards against deleting a status that submitters may still query, and against records that are kept forever."""
    workflows = make_workflows(1, status=WorkflowStatus.COMPLETED)
    assert retention.find_expired(workflows, now=1000.0) == ()
    assert retention.find_expired(workflows, now=1000.0 + RETENTION_S + SLACK_S - 0.1) == ()
    assert retention.find_expired(workflows, now=1000.0 + RETENTION_S + SLACK_S + CHECK_INTERVAL_S) == ("w0",)


def test_active_workflow_is_never_deleted(retention):
    """Guards against deleting a workflow that runs for days."""
    workflows = make_workflows(1, status=WorkflowStatus.RUNNING)
    retention.find_expired(workflows, now=0.0)
    assert retention.find_expired(workflows, now=1e6) == ()


def test_many_workflows_are_deleted_in_batches(retention):
    """Guards against a single log entry with tens of thousands of workflow IDs."""
    workflows = make_workflows(2 * MAX_DELETIONS, status=WorkflowStatus.CANCELLED)
    retention.find_expired(workflows, now=0.0)
    assert len(retention.find_expired(workflows, now=1e6)) == MAX_DELETIONS
