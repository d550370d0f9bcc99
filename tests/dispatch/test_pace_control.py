"""Pace of tasks that fill beside serving tasks: disturbed ones, and ones under their own load."""

from __future__ import annotations

import asyncio

import pytest

from dispatch.conftest import make_link
from hyssopway.dispatch import ListedRun, OrderReply
from hyssopway.dispatch.pace_control import OWN_LOAD_S, PaceControl, ServingReading
from hyssopway.dispatch.pace_history import FIRST_PERCENT, PaceHistory
from hyssopway.workflow import StartRuns, Step
from hyssopway.workflow.commands import RunStart
from workflow.conftest import make_workflow

TARGET_MS = 100
# The platform's bound on the time that a disturbed task may be over its target.
INTERFERENCE_S = 4.0
LOOK_S = 0.25
PACING_S = 0.1


class DisturbedTask:
    """A serving task whose tail follows the pace of what fills, as a rough reading over the last half second."""

    def __init__(self, *, alone_ms, added_ms, control):
        self.alone_ms = alone_ms
        self.added_ms = added_ms
        self.control = control
        self.percents = [100.0, 100.0]
        self.history = []

    def play(self, *, start, seconds, filling=("batch", "batch")):
        """Plays looks one after another and notes time, tail and percent."""
        now = start
        while now < start + seconds:
            tail_ms = self.alone_ms + self.added_ms * sum(self.percents) / len(self.percents) / 100
            reading = ServingReading(image="desk", target_ms=TARGET_MS, tail_ms=round(tail_ms))
            percent = self.control.choose(serving=[reading], filling=filling, now=now)
            self.percents = [*self.percents[1:], percent]
            self.history.append((now, tail_ms, percent))
            now += LOOK_S
        return now

    def longest_over_s(self):
        longest = since = 0.0
        for _, tail_ms, _ in self.history:
            since = since + LOOK_S if tail_ms > TARGET_MS else 0.0
            longest = max(longest, since)
        return longest


@pytest.fixture
def control():
    return PaceControl(history=PaceHistory(), pacing_s=PACING_S)


@pytest.mark.parametrize("added_ms", [45, 80, 300, 3000])
def test_task_that_two_fillers_push_over_its_target_is_kept_under_it(control, added_ms):
    """Replays a serving task that is fine alone and misses its target beside two tasks that fill."""
    task = DisturbedTask(alone_ms=60, added_ms=added_ms, control=control)
    task.play(start=0.0, seconds=30)
    assert task.longest_over_s() < INTERFERENCE_S / 2
    assert sum(tail > TARGET_MS for _, tail, _ in task.history) * LOOK_S < 6.0


def test_task_over_its_target_by_its_own_load_paces_nothing_for_long(control):
    """Replays a serving task that misses its target alone: what fills is not kept from its work."""
    task = DisturbedTask(alone_ms=180, added_ms=2, control=control)
    task.play(start=0.0, seconds=30)
    at_work = sum(percent for _, _, percent in task.history) / len(task.history)
    assert at_work > 50
    assert max(percent for _, _, percent in task.history[-int(OWN_LOAD_S / LOOK_S) - 6 :]) == 100


def test_disturbance_after_own_load_is_still_found(control):
    """Guards against own load that hides what fills once the load has fallen."""
    task = DisturbedTask(alone_ms=180, added_ms=60, control=control)
    now = task.play(start=0.0, seconds=10)
    task.alone_ms = 70
    task.history = []
    task.play(start=now, seconds=15)
    assert task.longest_over_s() < INTERFERENCE_S


def test_share_is_given_back_slowly_once_the_disturbance_ends(control):
    """Guards against a pace that stays, and against one that swings."""
    task = DisturbedTask(alone_ms=60, added_ms=300, control=control)
    now = task.play(start=0.0, seconds=5)
    task.added_ms = 0
    before = task.percents[-1]
    now = task.play(start=now, seconds=2)
    assert task.percents[-1] <= before + 30
    task.play(start=now, seconds=25)
    assert task.percents[-1] == 100


def test_no_pace_is_kept_when_nothing_fills_or_nobody_serves(control):
    """Guards against tasks that stay slow after their neighbour has left."""
    reading = ServingReading(image="desk", target_ms=TARGET_MS, tail_ms=500)
    assert control.choose(serving=[reading], filling=["batch"], now=0.0) < 100
    assert control.choose(serving=[], filling=["batch"], now=0.1) == 100
    assert control.choose(serving=[reading], filling=[], now=0.2) == 100


def test_what_one_vm_learned_is_where_the_next_begins():
    """Guards against each VM that has to find out again that an image disturbs."""
    history = PaceHistory()
    DisturbedTask(alone_ms=60, added_ms=3000, control=PaceControl(history=history, pacing_s=PACING_S)).play(
        start=0.0, seconds=5
    )
    fresh = PaceControl(history=history, pacing_s=PACING_S)
    calm = ServingReading(image="desk", target_ms=TARGET_MS, tail_ms=70)
    assert fresh.choose(serving=[calm], filling=["batch"], now=100.0) < FIRST_PERCENT
    assert history.disturbs(("desk", "batch"))
    assert not history.disturbs(("desk", "other"))


STEPS = (
    Step(count=1, cpu_millis=1000, long_running=True, image="desk", target_ms=TARGET_MS),
    Step(count=2, cpu_millis=1000, estimate_ms=60_000, image="batch", fills=True),
)


class PacedVms:
    """A VM that lists what runs and takes changes of pace."""

    def __init__(self, vms):
        self.vms = vms
        self.paces = {}

    async def poll(self, **arguments):
        return await self.vms.poll(**arguments)

    async def pace(self, *, vm, task, run, percent, fencing_token, timeout_s):
        self.vms._answer(timeout_s)
        self.paces[task] = percent
        return OrderReply()


@pytest.fixture
async def shared_vm(fleet, vms):
    """A serving task and two that fill on one VM."""
    await fleet.propose(make_workflow("mixed", steps=STEPS))
    tasks = ["mixed.0.0.0", "mixed.0.1.0", "mixed.0.1.1"]
    starts = tuple(RunStart(task=task, run=1, vm="vm-1") for task in tasks)
    await fleet.propose(StartRuns(fencing_token=fleet.term, starts=starts))
    paced = PacedVms(vms)
    return fleet, paced, make_link("vm-1", leadership=fleet, calls=paced)


def rows(tail_ms):
    listed = [
        ListedRun("mixed.0.0.0", 1, "", 100, tail_ms),
        ListedRun("mixed.0.1.0", 1, "", 10, 500),
        ListedRun("mixed.0.1.1", 1, "", 10, 500),
    ]
    return {f"{row.task}/{row.run}": row for row in listed}


async def _settle(link):
    while link.orders.sending:
        await asyncio.gather(*link.orders.sending)
        await asyncio.sleep(0)  # lets the done tasks be dropped


async def test_pace_is_ordered_once_and_for_tasks_that_fill_only(shared_vm):
    """Guards against a call for pace that nobody sends, and against one with each look."""
    fleet, paced, link = shared_vm
    for _ in range(3):
        link.pace.update(rows(70), now=fleet.now)
        await _settle(link)
    assert paced.paces == {"mixed.0.1.0": FIRST_PERCENT, "mixed.0.1.1": FIRST_PERCENT}
    assert len(paced.vms.timeouts) == 2


async def test_unanswered_pace_is_repeated(shared_vm):
    """Guards against a task that goes on to disturb because one order was lost."""
    fleet, paced, link = shared_vm
    paced.vms.lose = 1
    link.pace.update(rows(70), now=fleet.now)
    await _settle(link)
    assert set(paced.paces.values()) == {FIRST_PERCENT}
    assert len(paced.paces) == 2


async def test_new_leader_orders_the_pace_of_runs_that_a_former_one_may_have_slowed(shared_vm):
    """Guards against tasks that stay slow for good after a change of leader."""
    fleet, paced, link = shared_vm
    fleet.term += 1
    without_serving = {key: row for key, row in rows(70).items() if not key.startswith("mixed.0.0")}
    link.pace.update(without_serving, now=fleet.now)
    await _settle(link)
    assert set(paced.paces.values()) == {100}
