"""Ends of runs that a VM lists after it has restarted under its ID, when it numbers them anew."""

from __future__ import annotations

import pytest

from dispatch.conftest import FakeLeadership, make_link
from hyssopway.dispatch import WorkerUnreachableError
from hyssopway.dispatch.listed_end import ListedEnd
from hyssopway.workflow import RunEnd, RunOutcome, RunStart, StartRuns

TASK = "w.0.0.0"
OTHER_TASK = "w.0.0.1"


@pytest.fixture
def forgetful_vms(vms):
    """VMs that forget the ends that a poll acknowledges, also when the answer to that poll is lost."""
    poll = vms.poll

    async def forget_and_poll(*, last_end, **arguments):
        vms.acknowledged.append(last_end)
        vms.ends = [end for end in vms.ends if end.number > last_end]
        return await poll(last_end=last_end, **arguments)

    vms.acknowledged = []
    vms.poll = forget_and_poll
    return vms


@pytest.fixture
async def link(fleet, forgetful_vms):
    """Link to a VM that has reported three ends in its first boot."""
    built = make_link("vm-1", leadership=fleet, calls=forgetful_vms)
    await built.poll()
    for number in (1, 2, 3):
        forgetful_vms.ends.append(done(f"gone.0.0.{number}", number=number))
    await built.poll()
    assert built.record.last_end == 3
    return built


def done(task, *, number):
    return ListedEnd(number, RunEnd(task=task, run=1, outcome=RunOutcome.DONE))


async def start(link, task):
    link.orders.expect_start(task=task, run=1)
    await link.leadership.propose(
        StartRuns(fencing_token=link.leadership.term, starts=(RunStart(task=task, run=1, vm="vm-1"),))
    )
    (run,) = link.leadership.state.tables.runs[task]
    await link.start(run, specification="", checkpoint="")


async def run_on_next_boot(link, vms):
    """Restarts the VM; the next boot carries out a start, and its run ends as done."""
    vms.boot, vms.running, vms.ends = 2, {}, []
    await start(link, TASK)
    vms.running.clear()
    vms.ends.append(done(TASK, number=1))


def lead_next(link, vms):
    successor = FakeLeadership()
    successor.state, successor.term = link.leadership.state, link.leadership.term + 1
    successor.now = link.leadership.now
    return make_link("vm-1", leadership=successor, calls=vms)


@pytest.mark.parametrize("before", ["lost answer", "pause", "new leader"])
async def test_end_on_the_next_boot_is_read_before_it_is_acknowledged(link, forgetful_vms, before):
    """Guards against a task that runs again after it is done: its VM forgot the end by the count of the boot before (TWICE)."""
    if before == "lost answer":
        forgetful_vms.lose = 1
        await link.poll()
    await run_on_next_boot(link, forgetful_vms)
    if before == "pause":
        link.leadership.now += 2.0
    if before == "new leader":
        link = lead_next(link, forgetful_vms)
    await link.poll()
    await link.poll()
    tables = link.leadership.state.tables
    assert tables.workflows["w"].progress[0][0].done == [True, False]


async def test_answer_that_was_read_after_a_pause_does_not_show_that_the_vm_has_not_restarted(
    link, forgetful_vms, monkeypatch
):
    """Guards against the same after a pause of the leader in which an answer of the earlier boot waited unread (TWICE)."""
    poll = forgetful_vms.poll

    async def read_after_pause(**arguments):
        reply = await poll(**arguments)
        link.leadership.now += 2.0
        return reply

    with monkeypatch.context() as patch:
        patch.setattr(forgetful_vms, "poll", read_after_pause)
        await link.poll()
    await link.poll()
    await link.poll()
    assert forgetful_vms.acknowledged[-2:] == [0, 3]


async def test_ends_are_acknowledged_by_the_next_poll(link, forgetful_vms):
    """Guards against a VM that lists its ends for ever, which the platform counts as ends that nobody took note of."""
    await link.poll()
    assert forgetful_vms.acknowledged[-1] == 3
    forgetful_vms.lose = 1
    await link.poll()
    await link.poll()
    await link.poll()
    assert forgetful_vms.acknowledged[-2:] == [0, 3]


async def test_end_that_is_listed_again_counts_once(link, forgetful_vms):
    """Guards against a VM that is rated by the same failure twice because an answer to a poll was lost."""
    await start(link, OTHER_TASK)
    forgetful_vms.running.clear()
    failed = RunEnd(task=OTHER_TASK, run=1, outcome=RunOutcome.FAILED)
    forgetful_vms.ends.append(ListedEnd(4, failed))
    await link.poll()
    link.leadership.now += 2.0
    await link.poll()
    assert link.failures == 1


@pytest.mark.parametrize("is_confirmed", [True, False], ids=["old answer", "lost leadership"])
async def test_poll_is_not_written_after_a_pause_that_ended_its_permission(link, forgetful_vms, is_confirmed):
    """Guards against a leader that was paused while it connected, and lets the next boot forget an end unread (TWICE)."""
    forgetful_vms.ends.append(done("gone.0.0.4", number=4))
    await link.poll()
    written = []

    async def connect_after_pause(*, may_send, last_end, **_):
        assert last_end == 4
        if is_confirmed:
            link.leadership.now += 2.0
        link.leadership.is_confirmed = is_confirmed
        if may_send():
            written.append(last_end)
        raise WorkerUnreachableError("permission expired", is_sent=False)

    forgetful_vms.poll = connect_after_pause
    await link.poll()
    assert written == []
    assert not link.may_have_restarted(), "what this process did not send is no sign of a restart"
