"""Starts of one round against the upper limits of their teams."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from dispatch.test_placement import make_free_capacity, make_ready
from hyssopway.dispatch.placement import place_steps
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


@pytest.mark.parametrize("is_coupled", [False, True], ids=["anywhere", "on one rack if it fits"])
def test_gang_that_does_not_fit_the_limit_leaves_it_to_the_other_jobs_of_its_team(
    limited_log, monkeypatch, is_coupled
):
    """Guards against a gang that uses up the limit in each round without starting, so that no other job starts (LOST)."""
    gang = make_ready(Step(count=3, cpu_millis=1500, gang=True, tightly_coupled=is_coupled), name="g")
    others = [make_ready(SMALL, name=name) for name in ("w", "x", "y", "z")]
    vms = [make_free_capacity(f"vm-{number}", labels=("a", f"r{number}")) for number in range(3)]
    usage, counted = make_usage(limited_log), []
    monkeypatch.setattr(TeamShares, "add_start", lambda _, item: counted.append(item))
    starts = place_steps(
        steps=[gang, *others],
        free_by_pool={"vans": vms},
        pool_of=lambda _: "vans",
        reserve_for_team=usage.reserve,
        max_starts=9,
    )
    assert [start.task for start in starts] == [f"{name}.0.0.0" for name in ("w", "x", "y", "z")]
    assert counted == others
