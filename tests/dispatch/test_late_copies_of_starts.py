"""Copies of starts that get no answer and are carried out seconds later, by the next boot of their VM.

A VM that restarts under its ID forgets the runs that it has ended or was told to stop.
"""

from __future__ import annotations

import asyncio

import pytest

from dispatch.conftest import LIMITS, FakeLeadership, make_link
from dispatch.model_worker import ModelNetwork, ModelWorker
from hyssopway.dispatch.dispatcher import Dispatcher
from hyssopway.dispatch.late_starts import LateStarts
from hyssopway.dispatch.order_delay import MAX_ORDER_DELAY_S
from hyssopway.workflow import RunOutcome, RunStart, StartRuns
from workflow.conftest import make_vm

TASK = "w.0.0.0"
KEY = f"{TASK}/1"
STOP_TIME_S = LIMITS.stop_s + 0.3


@pytest.fixture
def worker():
    return ModelWorker(name="vm-1")


@pytest.fixture
def network(worker):
    return ModelNetwork(workers={"vm-1": worker}, stop_s=LIMITS.stop_s)


@pytest.fixture
async def link(fleet, network):
    built = make_link("vm-1", leadership=fleet, calls=network)
    await built.poll()
    return built


async def start_with_late_copy(link, network):
    """Starts a run of which the first copy of the order waits and the second one is carried out and answered."""
    await start(link, network, fault="delay_first")
    await link.poll()
    assert list_active_runs(link) == [(KEY, 1)]


async def start(link, network, *, fault):
    link.orders.expect_start(task=TASK, run=1)
    placed = RunStart(task=TASK, run=1, vm="vm-1")
    await link.leadership.propose(StartRuns(fencing_token=link.leadership.term, starts=(placed,)))
    (run,) = link.leadership.state.tables.runs[TASK]
    network.fault = fault
    await link.start(run, specification="", checkpoint="")
    network.fault = "deliver"


def list_active_runs(link):
    return [(run.key, run.boot) for runs in link.leadership.state.tables.runs.values() for run in runs]


async def poll(link, *, times=1):
    for _ in range(times):
        await link.poll()
        await asyncio.gather(*link.orders.sending)


async def wait_for_stop(link, worker):
    link.leadership.now += STOP_TIME_S
    worker.advance(STOP_TIME_S)
    await poll(link)


def make_successor(link, network):
    successor = FakeLeadership()
    successor.state, successor.term = link.leadership.state, link.leadership.term + 1
    successor.now = successor.started_at = link.leadership.now
    link.leadership.is_confirmed = False
    return make_link("vm-1", leadership=successor, calls=network)


async def test_late_copy_of_an_answered_start_becomes_no_second_run(link, network, worker):
    """Guards against a task that starts elsewhere while the next boot of its VM may still start it (TWICE)."""
    await start_with_late_copy(link, network)
    worker.restart()
    await poll(link)
    assert list_active_runs(link) == [(KEY, 2)], "a copy of its start got no answer"
    await poll(link, times=2)
    await wait_for_stop(link, worker)
    assert list_active_runs(link) == []
    network.deliver_delayed()
    assert worker.working() == {}


async def test_late_copy_that_the_next_boot_carries_out_goes_on(link, network, worker):
    """Guards against a second run of a task while the next boot of its VM works on the first one (TWICE)."""
    await start_with_late_copy(link, network)
    worker.restart()
    network.deliver_delayed()
    await poll(link, times=2)
    assert (list_active_runs(link), worker.working()) == ([(KEY, 2)], {TASK: 1})


async def test_run_that_the_next_boot_reports_is_kept_whatever_the_age_of_its_order(link, network, worker):
    """Guards against a second run of a task that the first answer of the next boot lists (TWICE)."""
    await start_with_late_copy(link, network)
    await pass_order_delay(link)
    worker.restart()
    network.deliver_delayed()
    await poll(link)
    assert list_active_runs(link) == [(KEY, 2)]


async def test_run_whose_start_was_answered_at_the_first_attempt_is_free_at_once(link, network, worker):
    """Guards against a delay of every task whose VM crashes, where no order is on its way."""
    await start(link, network, fault="deliver")
    await poll(link)
    worker.restart()
    await poll(link)
    assert list_active_runs(link) == []


async def pass_order_delay(link):
    link.leadership.now += MAX_ORDER_DELAY_S + 0.1
    await poll(link)


async def test_run_is_free_at_once_when_its_unanswered_copy_can_no_longer_arrive(link, network, worker):
    """Guards against a delay of tasks whose VM crashes long after a copy of their start got no answer."""
    await start_with_late_copy(link, network)
    await pass_order_delay(link)
    worker.restart()
    await poll(link)
    assert list_active_runs(link) == []


async def test_listed_run_of_the_leader_before_may_have_a_late_copy(link, network, worker):
    """Guards against a second run of a task whose start an earlier leader sent twice (TWICE)."""
    await start_with_late_copy(link, network)
    next_link = make_successor(link, network)
    await poll(next_link)
    worker.restart()
    network.deliver_delayed()
    await poll(next_link, times=2)
    assert (list_active_runs(next_link), worker.working()) == ([(KEY, 2)], {TASK: 1})


async def test_listed_run_of_the_leader_before_is_free_once_its_orders_have_expired(link, network, worker):
    """Guards against a delay of the runs of an earlier leader for as long as they last."""
    await start(link, network, fault="deliver")
    next_link = make_successor(link, network)
    await poll(next_link)
    await pass_order_delay(next_link)
    worker.restart()
    await poll(next_link)
    assert list_active_runs(next_link) == []


async def test_late_copy_reaches_the_boot_after_the_next(link, network, worker):
    """Guards against a second run of a task that was stopped on one boot of its VM and starts on the one after it (TWICE)."""
    await start_with_late_copy(link, network)
    for boot in (2, 3):
        worker.restart()
        await poll(link)
        assert list_active_runs(link) == [(KEY, boot)]
        await poll(link, times=2)
    network.deliver_delayed()
    assert worker.working() == {}


@pytest.mark.parametrize("outcome", [RunOutcome.DONE, RunOutcome.FAILED])
async def test_next_boot_refuses_a_run_that_has_ended_on_the_earlier_one(link, network, worker, outcome):
    """Guards against a late copy that starts a run again after its end was acknowledged (TWICE)."""
    await start_with_late_copy(link, network)
    worker.finish(TASK, outcome)
    await poll(link, times=2)
    worker.restart()
    await poll(link)
    network.deliver_delayed()
    assert worker.working() == {}


async def test_stop_of_an_ended_run_is_repeated_until_the_next_boot_confirms_it(link, network, worker):
    """Guards against a run that starts again because the stop before it was lost (TWICE)."""
    await start_with_late_copy(link, network)
    worker.finish(TASK, RunOutcome.DONE)
    await poll(link, times=2)
    worker.restart()
    await link.poll()
    network.fault = "lose"
    await asyncio.gather(*link.orders.sending)
    network.fault = "deliver"
    link.leadership.now += 1.0
    await poll(link)
    network.deliver_delayed()
    assert worker.working() == {}


async def test_next_boot_gets_no_task_before_it_refuses_the_late_starts_of_the_earlier_one(
    link, network, worker, fleet
):
    """Guards against a late copy that joins another task of its spread step on the next boot of its VM (ROUTE)."""
    await start_with_late_copy(link, network)
    worker.finish(TASK, RunOutcome.FAILED)
    await poll(link, times=2)
    worker.restart()
    await link.poll()
    await fleet.propose(make_vm("vm-1", boot=2))
    dispatcher = Dispatcher(leadership=fleet, links={"vm-1": link})
    network.stop_fault = "lose"
    await poll_and_place(link, dispatcher)
    assert list_active_runs(link) == []
    network.stop_fault = None
    link.leadership.now += 1.0
    await poll_and_place(link, dispatcher)
    await poll_and_place(link, dispatcher)
    assert list_active_runs(link) == [], "it may still be stopping one of them"
    link.leadership.now += STOP_TIME_S
    await poll_and_place(link, dispatcher)
    assert [boot for _, boot in list_active_runs(link)] == [2, 2]


async def poll_and_place(link, dispatcher):
    await link.poll()
    await dispatcher.run_round()
    await asyncio.gather(*link.orders.sending, *dispatcher.sending)


async def test_stops_of_ended_runs_outlast_the_record_of_their_vm(link, network, worker, fleet):
    """Guards against a run that starts again on a VM that has left and comes back under its ID (TWICE)."""
    await start_with_late_copy(link, network)
    worker.finish(TASK, RunOutcome.DONE)
    await poll(link, times=2)
    worker.restart()
    await fleet.propose(make_vm("vm-1", boot=2))
    next_link = make_link("vm-1", leadership=fleet, calls=network, late_starts=link.orders.late_starts.store)
    await poll(next_link)
    network.deliver_delayed()
    assert worker.working() == {}


def test_unanswered_copies_are_forgotten():
    """Guards against memory that grows with every order that got no answer."""
    late_starts = LateStarts()
    for number in range(100):
        late_starts.record_sent(f"{TASK}/{number}", vm="vm-1", boot=1, now=float(number))
    assert len(late_starts.copies["vm-1"]) <= MAX_ORDER_DELAY_S + 1
    late_starts.discard_expired(now=200.0)
    assert late_starts.copies == {}


def test_answer_leaves_the_copies_before_it_in_doubt():
    """Guards against forgetting an earlier copy, once a later one was answered."""
    late_starts = LateStarts()
    for now in (1.0, 2.0):
        earlier = late_starts.record_sent(KEY, vm="vm-1", boot=1, now=now)
    late_starts.record_answered(KEY, vm="vm-1", earlier=earlier)
    assert late_starts.find("vm-1", now=2.0)[KEY].sent_at == 1.0
