"""The number of jobs of which no task has started, while their VMs leave starts unanswered."""

from __future__ import annotations

import pytest

from adapter.test_caller_api import ID, JOB
from dispatch.conftest import FakeVms, make_link
from hyssopway.workflow import EndRuns, RunEnd, RunOutcome, RunStart, StartRuns
from workflow.conftest import make_vm

TASK = f"{ID}.0.0.0"
KEY = f"{TASK}/1"


@pytest.fixture
async def placed(client):
    """A client with one job, whose only task is placed on a VM that has not answered."""
    leadership = client.controller.leadership
    await leadership.propose(make_vm("vm-1"))
    await client.call("POST", f"/p/{ID}", JOB)
    client.controller.links["vm-1"] = make_link("vm-1", leadership=leadership, calls=FakeVms(leadership))
    await leadership.propose(StartRuns(fencing_token=3, starts=(RunStart(task=TASK, run=1, vm="vm-1"),)))
    return client


async def end(client, outcome, **fields):
    command = EndRuns(vm="vm-1", boot=1, ends=(RunEnd(task=TASK, run=1, outcome=outcome),), at_ms=9, **fields)
    await client.controller.leadership.propose(command)


async def test_job_whose_start_got_no_answer_is_pending(placed):
    """Guards against a count of 0 while a rack is dark and jobs wait for it (MIXED)."""
    assert await placed.call("GET", "/p/") == (200, {"pending": 1})


async def test_job_whose_task_a_vm_has_accepted_is_not_pending(placed):
    """Guards against a job that is counted as waiting while it runs."""
    placed.controller.links["vm-1"].orders.record_listed([KEY], now=100.0)
    assert await placed.call("GET", "/p/") == (200, {"pending": 0})


@pytest.mark.parametrize(
    ("outcome", "fields", "pending"),
    [
        pytest.param(RunOutcome.NOT_STARTED, {}, 1, id="its start was refused"),
        pytest.param(
            RunOutcome.LAPSED, {"lost_at_work": (KEY,), "unconfirmed": (KEY,)}, 1, id="its VM stayed dark"
        ),
        pytest.param(
            RunOutcome.LOST,
            {"boot_ended": True, "lost_at_work": ()},
            1,
            id="its VM restarted before the start",
        ),
        pytest.param(RunOutcome.LAPSED, {"lost_at_work": (KEY,)}, 0, id="its VM was cut off under it"),
        pytest.param(
            RunOutcome.LOST, {"boot_ended": True, "lost_at_work": (KEY,)}, 0, id="its VM crashed under it"
        ),
        pytest.param(RunOutcome.STOPPED, {"last_end": 1}, 0, id="it was stopped"),
    ],
)
async def test_job_is_pending_again_only_if_none_of_its_tasks_has_begun(placed, outcome, fields, pending):
    """Guards against a start that came to nothing and counts as begun for good (MIXED), and against the opposite."""
    await end(placed, outcome, **fields)
    assert await placed.call("GET", "/p/") == (200, {"pending": pending})
