"""Starts that got no answer, on a VM that may get no new runs any more."""

from __future__ import annotations

import asyncio

import pytest

from dispatch.conftest import make_link
from hyssopway.dispatch import WorkerUnreachableError
from hyssopway.workflow import RunStart, SetZoneEvacuated, StartRuns, Step
from workflow.conftest import make_vm, make_workflow

TASK = "steady.0.0.0"
COMMANDS = {
    "evacuated": SetZoneEvacuated(zone="nashua", evacuated=True),
    "draining": make_vm("vm-1", draining=True, sequence=1),
}


@pytest.fixture
async def link(fleet, vms):
    step = Step(count=3, long_running=True, disruption_allowance=1)
    await fleet.propose(make_workflow("steady", steps=(step,)))
    built = make_link("vm-1", leadership=fleet, calls=vms)
    await built.poll()
    return built


async def commit_start(link):
    link.orders.expect_start(task=TASK, run=1)
    start = RunStart(task=TASK, run=1, vm="vm-1")
    await link.leadership.propose(StartRuns(fencing_token=link.leadership.term, starts=(start,)))
    (run,) = link.leadership.state.tables.runs[TASK]
    return run


@pytest.mark.parametrize("change", COMMANDS)
async def test_start_is_not_repeated_once_its_vm_is_closed(link, vms, change):
    """Guards against a task that starts seconds after its zone was evacuated or its VM began to drain (EVAC, DRAIN)."""
    orders = []

    async def lose_start(**_):
        orders.append(link.leadership.now)
        raise WorkerUnreachableError("no answer")

    vms.start = lose_start
    run = await commit_start(link)
    await link.start(run, specification="", checkpoint="")
    await link.leadership.propose(COMMANDS[change])
    closed_at = link.leadership.now
    for _ in range(8):
        link.leadership.now += 0.5
        await link.poll()
        await asyncio.gather(*link.orders.sending)
    assert orders[-1] == closed_at
    assert vms.orders[-1] == ("stop", TASK, 1)
    assert TASK not in link.leadership.state.tables.runs


@pytest.mark.parametrize("change", COMMANDS)
async def test_start_is_not_written_once_its_vm_is_closed(link, vms, change):
    """Guards against a start that waited for a connection while its zone was evacuated or its VM began to drain."""
    allowed = []

    async def wait_for_connection(*, may_send, **_):
        await link.leadership.propose(COMMANDS[change])
        allowed.append(may_send())
        raise WorkerUnreachableError("not sent", is_sent=False)

    vms.start = wait_for_connection
    run = await commit_start(link)
    await link.start(run, specification="", checkpoint="")
    assert allowed == [False]
    assert TASK not in link.leadership.state.tables.runs
