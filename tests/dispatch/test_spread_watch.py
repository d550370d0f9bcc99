"""The report of a VM that lists more tasks of a step than the step's spread limit allows."""

from __future__ import annotations

import pytest

from dispatch.conftest import make_link
from hyssopway.dispatch import spread_watch
from hyssopway.event import Event
from hyssopway.workflow import RunStart, StartRuns, Step
from workflow.conftest import make_workflow


@pytest.fixture
def logged(monkeypatch):
    lines = []
    monkeypatch.setattr(spread_watch, "log_event", lambda event, **fields: lines.append((event, fields)))
    return lines


@pytest.fixture
async def link(fleet, vms):
    steps = (Step(count=3, spread_limit=1), Step(count=3))
    await fleet.propose(make_workflow("spread", steps=steps))
    starts = (RunStart(task="spread.0.0.0", run=1, vm="vm-1"),)
    await fleet.propose(StartRuns(fencing_token=3, starts=starts))
    vms.running["spread.0.0.0", 1] = "vm-1"
    return make_link("vm-1", leadership=fleet, calls=vms)


async def test_listed_tasks_beyond_the_spread_limit_are_reported_once(link, vms, logged):
    """Guards against a VM with two tasks of a spread step of which no log says whether the state has both."""
    await link.poll()
    vms.running["spread.0.1.0", 1] = vms.running["spread.0.1.1", 1] = "vm-1"
    await link.poll()
    assert logged == []
    vms.running["spread.0.0.2", 4] = "vm-1"
    await link.poll()
    await link.poll()
    fields = {
        "vm": "vm-1",
        "count": 2,
        "step": "spread.0.0",
        "limit": 1,
        "runs": ["spread.0.0.0/1", "spread.0.0.2/4"],
        "not_in_state": ["spread.0.0.2/4"],
    }
    assert logged == [(Event.SPREAD_EXCEEDED, fields)]


async def test_list_of_a_deleted_workflow_is_no_error(link, vms, logged):
    """Guards against a poll that fails because a VM still lists a run whose workflow was deleted."""
    vms.running["gone.0.0.0", 1] = vms.running["gone.0.0.1", 1] = "vm-1"
    assert await link.poll()
    assert logged == []
