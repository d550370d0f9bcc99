"""Records of workflows that ended long ago."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from hyssopway.dispatch.retention import CHECK_S, MAX_FORGOTTEN, SLACK_S, Retention
from hyssopway.workflow import WorkflowStatus

KEEP_S = 120.0


def make_workflows(count, *, status):
    return {f"w{number}": SimpleNamespace(status=status) for number in range(count)}


@pytest.fixture
def retention():
    return Retention(keep_s=KEEP_S)


def test_ended_workflow_is_kept_for_the_promised_time(retention):
    """Guards against a state that submitters ask for in vain, and against one that grows for ever."""
    workflows = make_workflows(1, status=WorkflowStatus.COMPLETED)
    assert retention.find_expired(workflows, now=1000.0) == ()
    assert retention.find_expired(workflows, now=1000.0 + KEEP_S + SLACK_S - 0.1) == ()
    assert retention.find_expired(workflows, now=1000.0 + KEEP_S + SLACK_S + CHECK_S) == ("w0",)


def test_open_workflow_is_never_forgotten(retention):
    """Guards against a workflow that runs for days and is lost."""
    workflows = make_workflows(1, status=WorkflowStatus.RUNNING)
    retention.find_expired(workflows, now=0.0)
    assert retention.find_expired(workflows, now=1e6) == ()


def test_many_workflows_are_forgotten_in_lots(retention):
    """Guards against one entry of the log with tens of thousands of identities."""
    workflows = make_workflows(2 * MAX_FORGOTTEN, status=WorkflowStatus.CANCELLED)
    retention.find_expired(workflows, now=0.0)
    assert len(retention.find_expired(workflows, now=1e6)) == MAX_FORGOTTEN
