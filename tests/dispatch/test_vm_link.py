"""Tests the link to a VM that falls silent, reboots, or answers late."""

from __future__ import annotations

import asyncio
from functools import partial

import pytest

from dispatch.conftest import LIMITS, make_link
from hyssopway.dispatch import LeadershipLostError, OrderReply, Refusal, WorkerUnreachableError
from hyssopway.dispatch.lease import RUN_LEASE_S, lease_expiry
from hyssopway.dispatch.listed_end import ListedEnd
from hyssopway.dispatch.poll_timing import STABLE_WAIT_MS, UNSTABLE_S
from hyssopway.workflow import (
    LATE_FAILURES_VERSION,
    RunEnd,
    RunOutcome,
    RunStart,
    SetStateVersion,
    StartRuns,
    Step,
)
from workflow.conftest import make_workflow


@pytest.fixture
def link(fleet, vms):
    return make_link("vm-1", leadership=fleet, calls=vms)


async def poll(link, *, times=1, step_s=0.0):
    """Polls the VM some times; the leader's clock advances by `step_s` before each poll."""
    for _ in range(times):
        link.leadership.now += step_s
        await link.poll()


async def start(link, task="w.0.0.0", run=1):
    link.orders.expect_start(task=task, run=run)
    command = StartRuns(fencing_token=link.leadership.term, starts=(RunStart(task=task, run=run, vm="vm-1"),))
    await link.leadership.propose(command)
    (active,) = link.leadership.state.tables.runs[task]
    await link.start(active, specification="", checkpoint="")


async def test_silent_vm_loses_its_runs_after_the_lease(link, vms):
    """Guards against unanswered polls that renew the lease, so that the runs of a silent VM never end."""
    await poll(link)
    await start(link)
    await poll(link, step_s=0.5)
    vms.silent = True
    await poll(link, times=5, step_s=0.5)
    assert "w.0.0.0" in link.leadership.state.tables.runs
    await poll(link, times=10, step_s=0.5)
    assert "w.0.0.0" not in link.leadership.state.tables.runs


async def test_runs_are_kept_while_the_lease_may_last(link, vms):
    """Guards against starting a second run of a task while the VM may still work on the first."""
    await poll(link)
    await start(link)
    await poll(link)
    vms.silent = True
    granted_at = link.leadership.now
    while link.leadership.now < granted_at + RUN_LEASE_S:
        assert "w.0.0.0" in link.leadership.state.tables.runs
        await poll(link, step_s=0.25)


async def test_failure_on_a_silent_vm_counts_once_the_vm_answers(link, vms):
    """Guards against a task that is started more often than its attempts allow because its VM was silent."""
    await link.leadership.propose(SetStateVersion(version=LATE_FAILURES_VERSION))
    await poll(link)
    await start(link)
    await poll(link)
    vms.silent = True
    await poll(link, times=15, step_s=0.5)
    progress = link.leadership.state.tables.workflows["w"].progress[0][0]
    assert (progress.failures, progress.pending) == ([0, 0], {0, 1})
    vms.silent = False
    vms.running.clear()
    vms.ends.append(ListedEnd(1, RunEnd(task="w.0.0.0", run=1, outcome=RunOutcome.FAILED)))
    await poll(link, times=2, step_s=0.5)
    assert progress.failures == [1, 0]


async def test_failure_whose_commit_is_late_is_learned_once(link, vms):
    """Guards against a VM that is avoided because the one failure on it was listed again before its late commit."""
    await poll(link)
    await start(link)
    await poll(link)
    vms.running.clear()
    vms.ends.append(ListedEnd(1, RunEnd(task="w.0.0.0", run=1, outcome=RunOutcome.FAILED)))
    link.leadership.confirms = False
    for _ in range(3):
        with pytest.raises(LeadershipLostError):
            await poll(link)
    link.leadership.apply_unconfirmed()
    await poll(link)
    assert link.failures == 1
    assert len(link.ratings.vms["vm-1"].runs) == 1


async def test_end_is_agreed_before_it_is_acknowledged(link, vms):
    """Guards against acknowledging an end that is not committed: the VM would discard it and it would be lost."""
    await poll(link)
    await start(link)
    vms.running.clear()
    end = RunEnd(task="w.0.0.0", run=1, outcome=RunOutcome.DONE)
    vms.ends.append(ListedEnd(1, end))
    await poll(link)
    tables = link.leadership.state.tables
    assert tables.workflows["w"].progress[0][0].done == [True, False]
    assert tables.vms["vm-1"].last_end == 1


async def test_new_boot_under_the_same_id_loses_the_runs(link, vms):
    """Guards against waiting for runs of an earlier boot that the VM no longer has."""
    await poll(link)
    await start(link)
    await poll(link)
    vms.boot, vms.running = 2, {}
    await poll(link)
    tables = link.leadership.state.tables
    assert (tables.vms["vm-1"].boot, tables.runs) == (2, {})


async def test_unanswered_start_is_stopped_and_resolved(link, vms):
    """Guards against a task that waits forever after its start order was lost."""
    await poll(link)
    vms.silent = True
    await start(link)
    vms.silent = False
    for _ in range(8):
        await poll(link, step_s=0.3)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    assert ("stop", "w.0.0.0", 1) in vms.orders
    assert link.leadership.state.tables.runs == {}


@pytest.mark.parametrize("lost", [1, 2, 3])
async def test_unanswered_start_is_repeated(link, vms, lost):
    """Guards against delaying a task by a stop and its confirmation whenever a single order gets no answer."""
    await poll(link)
    vms.lose, vms.timeouts = lost, []
    await start(link)
    assert vms.orders == [("start", "w.0.0.0", 1)] * (lost + 1)
    assert vms.running == {("w.0.0.0", 1): "vm-1"}
    assert sum(vms.timeouts[:-1]) <= 0.6, "the order is retried too late for a task whose objective is 0.6 s"


async def test_start_that_never_reached_its_vm_frees_the_task_at_once(link, vms):
    """Guards against a task that waits for the end of a VM which had crashed before the order, and is blamed for it."""
    await poll(link)

    async def refuse_connection(**_):
        raise WorkerUnreachableError("connection refused", is_sent=False)

    vms.start = refuse_connection
    await start(link)
    assert link.leadership.state.tables.runs == {}
    assert link.orders.paused_until > link.leadership.now


async def test_start_that_may_have_reached_its_vm_frees_no_task(link, vms):
    """Guards against a second run while the VM may carry out the first of several orders for the task."""
    await poll(link)
    errors = [WorkerUnreachableError("reset")]

    async def lose_first(**_):
        raise errors.pop() if errors else WorkerUnreachableError("connection refused", is_sent=False)

    vms.start = lose_first
    await start(link)
    assert "w.0.0.0" in link.leadership.state.tables.runs


async def test_refusal_of_a_repeated_start_resolves_nothing(link, vms, monkeypatch):
    """Guards against starting a second run while an earlier copy of the order may still be carried out."""

    async def refuse(**_):
        return OrderReply(refusal=Refusal.NO_ROOM)

    async def lose_first(**_):
        monkeypatch.setattr(vms, "start", refuse)
        raise WorkerUnreachableError("lost")

    await poll(link)
    monkeypatch.setattr(vms, "start", lose_first)
    await start(link)
    assert "w.0.0.0" in link.leadership.state.tables.runs


async def test_repeated_start_grants_no_longer_lease(link, vms, monkeypatch):
    """Guards against retries that extend the lease, so that the leader waits longer for the runs of a VM that is gone."""
    await poll(link)
    first_at = link.leadership.now

    async def lose(*, timeout_s, **_):
        link.leadership.now += timeout_s
        raise WorkerUnreachableError("lost")

    monkeypatch.setattr(vms, "start", lose)
    await start(link)
    assert link.leadership.now > first_at
    assert link.lease.expires_at == lease_expiry(granted_at=first_at, length_s=link.lease.length_s)


async def test_start_is_not_repeated_once_the_vm_lists_the_run(link, vms, monkeypatch):
    """Guards against retrying the start of a run that the VM already lists."""
    await poll(link)

    async def carry_out_unanswered(*, vm, task, run, **_):
        vms.orders.append(("start", task, run))
        vms.running[task, run] = vm.vm_id
        await poll(link)
        raise WorkerUnreachableError("answer lost")

    monkeypatch.setattr(vms, "start", carry_out_unanswered)
    await start(link)
    assert vms.orders == [("start", "w.0.0.0", 1)]


async def test_unanswered_stop_is_repeated(link, vms):
    """Guards against cancelled runs that continue for half a second longer for each lost stop."""
    await poll(link)
    await start(link)
    vms.lose = 2
    link.orders.request_stop(task="w.0.0.0", run=1, reason="cancelled")
    await asyncio.gather(*link.orders.sending)
    assert vms.orders.count(("stop", "w.0.0.0", 1)) == 3
    assert link.orders.order_states["w.0.0.0/1"].stopped_at == link.leadership.now


async def test_vm_that_leaves_polls_unanswered_is_polled_more_often(link, vms):
    """Guards against seeing ends a second late when a VM leaves a share of all calls unanswered."""
    await poll(link, times=2)
    calm_s = vms.timeouts[-1]
    vms.lose = 1
    await poll(link, times=3)
    assert vms.timeouts[-1] <= calm_s / 2
    await poll(link, times=2, step_s=UNSTABLE_S)
    assert vms.timeouts[-1] == calm_s


async def test_slow_vm_is_given_time_to_answer(link, vms):
    """Guards against taking a slow VM for silent because each short poll times out before its answer."""
    await poll(link, times=2)
    vms.lose = 3
    await poll(link, times=4)
    assert vms.timeouts[-1] >= 0.5


async def test_unconfirmed_leader_orders_nothing(link, vms):
    """Guards against orders from a leader whose lease is no longer valid, because another one may be elected."""
    await poll(link)
    link.leadership.is_confirmed = False
    await start(link)
    assert vms.orders == []
    assert link.leadership.state.tables.runs == {}


async def test_unanswered_start_of_a_long_running_task_is_repeated_before_it_is_stopped(link, vms):
    """Guards against a stop that ends a long-running task which its VM started late, beyond its allowance.

    A VM that answers no start at all is told to stop the run in the end, so that the task can start elsewhere.
    """
    step = Step(count=3, long_running=True, disruption_allowance=1)
    await link.leadership.propose(make_workflow("steady", steps=(step,)))
    await poll(link)

    async def lose_order(**_):
        vms.orders.append(("start", "steady.0.0.0", 1))
        raise WorkerUnreachableError("no answer")

    vms.start = lose_order
    await start(link, task="steady.0.0.0")
    sent = len(vms.orders)
    for _ in range(3):
        await poll(link, step_s=1.0)
        await asyncio.gather(*link.orders.sending)
    assert len(vms.orders) > sent
    assert {order for order, _, _ in vms.orders} == {"start"}
    for _ in range(4):
        await poll(link, step_s=1.0)
        await asyncio.gather(*link.orders.sending)
    assert vms.orders[-1] == ("stop", "steady.0.0.0", 1)


async def test_repeated_start_of_a_long_running_task_brings_it_to_work(link, vms):
    """Guards against a task that stays without a run because the first orders for it were lost."""
    step = Step(count=3, long_running=True, disruption_allowance=1)
    await link.leadership.propose(make_workflow("steady", steps=(step,)))
    await poll(link)
    vms.lose = len(link.orders.rtt_estimator.choose_timeouts())
    await start(link, task="steady.0.0.0")
    await poll(link, step_s=1.0)
    await asyncio.gather(*link.orders.sending)
    await poll(link, step_s=1.0)
    assert list(link.listed_runs) == ["steady.0.0.0/1"]
    assert {order for order, _, _ in vms.orders} == {"start"}


async def test_listed_run_that_names_no_task_does_not_hold_up_the_others(link, vms):
    """Guards against one malformed row that ends each poll of a VM, so that its runs never end."""
    await poll(link)
    await start(link)
    for number, task in enumerate(("nonsense", "w.0.99.0", "w.0.0.77", "w.0.-1.0")):
        vms.running[task, 1] = "vm-1"
        done = RunEnd(task=task, run=1, outcome=RunOutcome.DONE)
        vms.ends.append(ListedEnd(number + 1, done))
    del vms.running["w.0.0.0", 1]
    vms.ends.append(ListedEnd(9, RunEnd(task="w.0.0.0", run=1, outcome=RunOutcome.DONE)))
    await poll(link)
    assert "w.0.0.0" not in link.leadership.state.tables.runs
    assert link.record.last_end == 9


async def test_vm_that_answers_slowly_keeps_its_runs(link, vms):
    """Guards against abandoning the work of a VM that is slow to report but works.

    Its polls arrive at once and prolong the lease; its answers take 0.9 s.
    """
    await poll(link)
    await start(link)
    answer = vms._answer

    def answer_slowly(timeout_s):
        vms.leadership.now += min(timeout_s, 0.9)
        vms.lose = int(timeout_s < 0.9)
        answer(timeout_s)

    vms._answer = answer_slowly
    for _ in range(60):
        await poll(link, step_s=0.2)
    assert "w.0.0.0" in link.leadership.state.tables.runs
    assert vms.orders == [("start", "w.0.0.0", 1)]


async def test_lost_order_is_not_blamed_when_its_vm_falls_silent(link, vms):
    """Guards against suspecting a task whose VM left its start unanswered, answered polls and crashed later."""
    await poll(link)

    async def lose_order(**_):
        raise WorkerUnreachableError("no answer")

    vms.start = lose_order
    await start(link)
    await poll(link, step_s=0.1)
    vms.silent = True
    await poll(link, times=15, step_s=0.5)
    state = link.leadership.state
    assert state.tables.runs == {}
    assert state.indexes.suspects.level("w.0.0.0") == 0


async def test_vm_whose_poll_was_cut_off_is_not_ended_by_a_later_start(link, vms):
    """Guards against blaming tasks that were ordered to a VM after it had crashed."""
    await poll(link)

    async def break_connection(**_):
        raise WorkerUnreachableError("disconnected", is_broken=True)

    answer, vms.poll = vms.poll, break_connection
    await poll(link)
    vms.start = break_connection
    link.leadership.now += 0.1
    await start(link)
    vms.poll, vms.boot = answer, 2
    await poll(link, step_s=3.0)
    state = link.leadership.state
    assert state.tables.vms["vm-1"].boot == 2
    assert state.indexes.suspects.level("w.0.0.0") == 0


async def test_run_that_is_being_stopped_is_not_taken_for_gone(link, vms, monkeypatch):
    """Guards against a second run while the VM stops the first, whose listing is younger than the poll that asked for it."""
    await poll(link)
    await start(link)
    await poll(link)
    await asyncio.sleep(0)
    leadership, answer = link.leadership, vms.poll

    async def answer_after(wait_s, **arguments):
        leadership.now += wait_s
        return await answer(**arguments)

    # The VM begins to stop the run right before another run ends, for which the poll has waited.
    monkeypatch.setattr(vms, "poll", partial(answer_after, STABLE_WAIT_MS / 1000))
    vms.running.clear()
    await poll(link)
    stop_began_at = leadership.now
    # More runs end in quick succession.
    monkeypatch.setattr(vms, "poll", partial(answer_after, 0.05))
    while leadership.now + 0.05 < stop_began_at + LIMITS.stop_s:
        await poll(link)
        assert "w.0.0.0" in leadership.state.tables.runs, (
            f"{leadership.now - stop_began_at:.2f} s into the stop"
        )
    await poll(link, times=20)
    assert leadership.state.tables.runs == {}
