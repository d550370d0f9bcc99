"""Contact with one VM that is lost, reborn or answers late."""

from __future__ import annotations

import asyncio

import pytest

from dispatch.conftest import LIMITS
from hyssopway.dispatch.lease import RUN_LEASE_S
from hyssopway.dispatch.listed_end import ListedEnd
from hyssopway.dispatch.vm_link import VmLink
from hyssopway.dispatch.work_scale import WorkScale
from hyssopway.workflow import RunEnd, RunOutcome, RunStart, StartRuns


@pytest.fixture
def link(fleet, vms):
    return VmLink(
        vm_id="vm-1", leadership=fleet, calls=vms, limits=LIMITS, scale=WorkScale(), on_change=lambda: None
    )


async def look(link, *, times=1, step_s=0.0):
    """Runs the link for some looks; the clock of the leader moves in between."""
    for _ in range(times):
        link.leadership.now += step_s
        await link.look()


async def start(link, task="w.0.0.0", run=1):
    link.orders.expect_start(task=task, run=run)
    command = StartRuns(fencing_token=link.leadership.term, starts=(RunStart(task=task, run=run, vm="vm-1"),))
    await link.leadership.propose(command)
    (active,) = link.leadership.state.tables.runs[task]
    await link.start(active, specification="", checkpoint="")


async def test_silent_vm_loses_its_runs_after_the_lease(link, vms):
    """Guards against a lease that each unanswered look extends, so that its runs are never taken as ended."""
    await look(link)
    await start(link)
    await look(link, step_s=0.5)
    vms.silent = True
    await look(link, times=5, step_s=0.5)
    assert "w.0.0.0" in link.leadership.state.tables.runs
    await look(link, times=10, step_s=0.5)
    assert "w.0.0.0" not in link.leadership.state.tables.runs


async def test_runs_are_kept_while_the_lease_may_last(link, vms):
    """Guards against a second run while the VM may still work on the first."""
    await look(link)
    await start(link)
    await look(link)
    vms.silent = True
    granted_at = link.leadership.now
    while link.leadership.now < granted_at + RUN_LEASE_S:
        assert "w.0.0.0" in link.leadership.state.tables.runs
        await look(link, step_s=0.25)


async def test_end_is_agreed_before_it_is_acknowledged(link, vms):
    """Guards against an end that the VM forgets and nobody knows."""
    await look(link)
    await start(link)
    vms.running.clear()
    end = RunEnd(task="w.0.0.0", run=1, outcome=RunOutcome.DONE)
    vms.ends.append(ListedEnd(1, end))
    await look(link)
    tables = link.leadership.state.tables
    assert tables.workflows["w"].progress[0][0].done == [True, False]
    assert tables.vms["vm-1"].last_end == 1


async def test_new_boot_under_the_same_identity_loses_the_runs(link, vms):
    """Guards against runs that are waited for on a VM that holds nothing of before."""
    await look(link)
    await start(link)
    vms.boot, vms.running = 2, {}
    await look(link)
    tables = link.leadership.state.tables
    assert (tables.vms["vm-1"].boot, tables.runs) == (2, {})


async def test_unanswered_start_is_stopped_and_settled(link, vms):
    """Guards against a task that waits for ever for an order that was lost."""
    await look(link)
    vms.silent = True
    await start(link)
    vms.silent = False
    for _ in range(8):
        await look(link, step_s=0.3)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    assert ("stop", "w.0.0.0", 1) in vms.orders
    assert link.leadership.state.tables.runs == {}


async def test_unconfirmed_leader_orders_nothing(link, vms):
    """Guards against orders of a leader that may have a successor."""
    await look(link)
    link.leadership.is_confirmed = False
    await start(link)
    assert vms.orders == []
    assert link.leadership.state.tables.runs == {}
