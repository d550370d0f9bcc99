"""The log line of starts that are skipped as their command is applied."""

from __future__ import annotations

import asyncio

import pytest

from dispatch.conftest import LIMITS
from hyssopway.dispatch import start_log
from hyssopway.dispatch.leader_controller import LeaderController
from hyssopway.event import Event
from hyssopway.workflow import CancelWorkflow, RunStart, StartRuns

STARTS = StartRuns(fencing_token=3, starts=(RunStart(task="w.0.0.0", run=1, vm="vm-1"),))


@pytest.fixture
def logged(monkeypatch):
    lines = []
    monkeypatch.setattr(start_log, "log_event", lambda event, **fields: lines.append((event, fields)))
    return lines


@pytest.fixture
def slow_vms(vms):
    """VMs whose answers take a moment; a link to VMs that answer at once polls them without a pause."""
    answer = vms.poll

    async def answer_later(**arguments):
        await asyncio.sleep(0.001)
        return await answer(**arguments)

    vms.poll = answer_later
    return vms


async def test_leader_logs_a_skipped_start_with_its_rule(fleet, slow_vms, logged):
    """Guards against a committed start that is skipped and can't be told from one that was never decided."""
    controller = LeaderController(
        leadership=fleet, calls=slow_vms, machines=None, advisor=None, limits=LIMITS
    )
    await fleet.propose(CancelWorkflow(workflow_id="w", at_ms=6))
    await fleet.propose(STARTS)
    assert logged == []  # this process does not lead yet
    leading = asyncio.create_task(controller.run())
    await asyncio.sleep(0.01)
    await fleet.propose(STARTS)
    runs = {"w.0.0.0/1": {"vm": "vm-1", "rule": "workflow is open"}}
    assert logged == [(Event.STARTS_SKIPPED, {"count": 1, "runs": runs})]
    fleet.holds = False
    await leading
    await fleet.propose(STARTS)
    assert len(logged) == 1
