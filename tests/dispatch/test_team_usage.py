"""Starts of one round against the upper limits of their teams."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from dispatch.test_placement import make_ready
from hyssopway.dispatch.team_shares import TeamShares
from hyssopway.dispatch.team_usage import TeamUsage
from hyssopway.workflow import (
    CURRENT_VERSION,
    PutDocument,
    RunStart,
    SetStateVersion,
    StartRuns,
    Step,
    WorkflowState,
)
from workflow.conftest import Log, make_document, make_vm, make_workflow

SMALL = Step(count=1, cpu_millis=1000)


def make_usage(log):
    return TeamUsage(indexes=log.state.indexes, shares=TeamShares(state=log.state, counters=Counter()))


@pytest.fixture
def limited_log():
    """A log whose only team may use 4 cores."""
    log = Log(WorkflowState())
    log.apply(SetStateVersion(version=CURRENT_VERSION))
    log.apply(PutDocument(document=make_document(version=2, limit=4000)))
    log.apply(make_vm("vm-1"))
    return log


def test_renamed_team_gets_no_start_beyond_its_limit(limited_log):
    """Guards against starts that are placed in each round and refused as they are applied, since usage is looked up by name."""
    log = limited_log
    log.apply(make_workflow("w", steps=(Step(count=1, cpu_millis=4000),)))
    log.apply(StartRuns(fencing_token=1, starts=(RunStart(task="w.0.0.0", run=1, vm="vm-1"),)))
    document = make_document(version=3, limit=4000)
    teams = tuple(replace(team, name="first") for team in document.teams)
    log.apply(PutDocument(document=replace(document, teams=teams)))
    assert not make_usage(log).reserve(make_ready(SMALL))
