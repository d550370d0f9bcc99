"""Pace of best-effort tasks beside latency-bound tasks, with interference and with high load of the latter."""

from __future__ import annotations

import asyncio

import pytest

from dispatch.conftest import make_link
from hyssopway.dispatch import ListedRun, OrderReply, WorkerUnreachableError
from hyssopway.dispatch.dispatcher import Dispatcher
from hyssopway.dispatch.pace_control import OWN_LOAD_RECHECK_S, PaceControl
from hyssopway.scheduling.interference import FIRST_PERCENT, InterferenceModel
from hyssopway.scheduling.latency_sample import LatencySample
from hyssopway.workflow import StartRuns, Step
from hyssopway.workflow.commands import RunStart
from workflow.conftest import make_vm, make_workflow

TARGET_MS = 100
# The platform's bound on the time for which interference may keep a task over its latency target.
INTERFERENCE_S = 4.0
POLL_INTERVAL_S = 0.25
PACING_S = 0.1


class LatencyBoundTask:
    """A latency-bound task whose tail latency grows with the mean pace of best-effort tasks in the last two polls."""

    def __init__(self, *, base_ms, interference_ms, control):
        self.base_ms = base_ms
        self.interference_ms = interference_ms
        self.control = control
        self.percents = [100.0, 100.0]
        self.history = []

    def simulate(self, *, start, seconds, best_effort=("batch", "batch")):
        """Simulates one poll after another and records time, tail latency and pace."""
        now = start
        while now < start + seconds:
            tail_ms = self.base_ms + self.interference_ms * sum(self.percents) / len(self.percents) / 100
            sample = LatencySample(image="desk", target_ms=TARGET_MS, tail_ms=round(tail_ms))
            percent = self.control.choose_percent(latency_bound=[sample], best_effort=best_effort, now=now)
            self.percents = [*self.percents[1:], percent]
            self.history.append((now, tail_ms, percent))
            now += POLL_INTERVAL_S
        return now

    def longest_time_over_target_s(self):
        longest = since = 0.0
        for _, tail_ms, _ in self.history:
            since = since + POLL_INTERVAL_S if tail_ms > TARGET_MS else 0.0
            longest = max(longest, since)
        return longest


@pytest.fixture
def control():
    return PaceControl(interference=InterferenceModel(), pacing_s=PACING_S)


@pytest.mark.parametrize("added_ms", [45, 80, 300, 3000])
def test_interference_of_best_effort_tasks_is_reduced(control, added_ms):
    """Guards against a task that meets its target alone and misses it beside two best-effort tasks."""
    task = LatencyBoundTask(base_ms=60, interference_ms=added_ms, control=control)
    task.simulate(start=0.0, seconds=30)
    assert task.longest_time_over_target_s() < INTERFERENCE_S / 2
    assert sum(tail > TARGET_MS for _, tail, _ in task.history) * POLL_INTERVAL_S < 6.0


def test_own_load_does_not_slow_best_effort_tasks_for_long(control):
    """Guards against best-effort tasks that are kept slow beside a task that misses its target even alone."""
    task = LatencyBoundTask(base_ms=180, interference_ms=2, control=control)
    task.simulate(start=0.0, seconds=30)
    mean_percent = sum(percent for _, _, percent in task.history) / len(task.history)
    assert mean_percent > 50
    assert (
        max(percent for _, _, percent in task.history[-int(OWN_LOAD_RECHECK_S / POLL_INTERVAL_S) - 6 :])
        == 100
    )


def test_interference_after_own_load_is_still_detected(control):
    """Guards against interference that is still blamed on own load after that load has fallen."""
    task = LatencyBoundTask(base_ms=180, interference_ms=60, control=control)
    now = task.simulate(start=0.0, seconds=10)
    task.base_ms = 70
    task.history = []
    task.simulate(start=now, seconds=15)
    assert task.longest_time_over_target_s() < INTERFERENCE_S


def test_pace_increases_slowly_after_interference_ends(control):
    """Guards against a pace that stays low, and against one that oscillates."""
    task = LatencyBoundTask(base_ms=60, interference_ms=300, control=control)
    now = task.simulate(start=0.0, seconds=5)
    task.interference_ms = 0
    before = task.percents[-1]
    now = task.simulate(start=now, seconds=2)
    assert task.percents[-1] <= before + 30
    task.simulate(start=now, seconds=25)
    assert task.percents[-1] == 100


def test_pace_is_full_without_latency_bound_or_best_effort_tasks(control):
    """Guards against best-effort tasks that stay slow after the latency-bound task has left the VM."""
    sample = LatencySample(image="desk", target_ms=TARGET_MS, tail_ms=500)
    assert control.choose_percent(latency_bound=[sample], best_effort=["batch"], now=0.0) < 100
    assert control.choose_percent(latency_bound=[], best_effort=["batch"], now=0.1) == 100
    assert control.choose_percent(latency_bound=[sample], best_effort=[], now=0.2) == 100


def test_control_of_another_vm_starts_with_the_recorded_pace():
    """Guards against each VM detecting anew that an image interferes."""
    interference = InterferenceModel()
    LatencyBoundTask(
        base_ms=60, interference_ms=3000, control=PaceControl(interference=interference, pacing_s=PACING_S)
    ).simulate(start=0.0, seconds=5)
    fresh = PaceControl(interference=interference, pacing_s=PACING_S)
    calm = LatencySample(image="desk", target_ms=TARGET_MS, tail_ms=70)
    assert fresh.choose_percent(latency_bound=[calm], best_effort=["batch"], now=100.0) < FIRST_PERCENT
    assert interference.initial_percent([("desk", "batch")], targets_ms={}, now=100.0) < FIRST_PERCENT
    assert interference.initial_percent([("desk", "other")], targets_ms={}, now=100.0) == FIRST_PERCENT


STEPS = (
    Step(count=1, cpu_millis=1000, long_running=True, image="desk", target_ms=TARGET_MS),
    Step(count=2, cpu_millis=1000, estimate_ms=60_000, image="batch", fills=True),
)


class PacedVms:
    """A VM that lists its runs and accepts changes of their pace."""

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
    """A latency-bound task and two best-effort tasks on one VM."""
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
        await asyncio.sleep(0)  # lets the callbacks of the done tasks run


async def test_pace_is_ordered_once_and_only_for_best_effort_tasks(shared_vm):
    """Guards against a pace that is never ordered, and against an order after each poll."""
    fleet, paced, link = shared_vm
    for _ in range(3):
        link.pace.update(rows(70), now=fleet.now)
        await _settle(link)
    assert paced.paces == {"mixed.0.1.0": FIRST_PERCENT, "mixed.0.1.1": FIRST_PERCENT}
    assert len(paced.vms.timeouts) == 2


async def test_unanswered_pace_order_is_repeated(shared_vm):
    """Guards against a task that continues to interfere because one order was lost."""
    fleet, paced, link = shared_vm
    paced.vms.lose = 1
    link.pace.update(rows(70), now=fleet.now)
    await _settle(link)
    assert set(paced.paces.values()) == {FIRST_PERCENT}
    assert len(paced.paces) == 2


async def test_new_leader_orders_the_pace_of_runs_that_a_former_leader_may_have_slowed(shared_vm):
    """Guards against tasks that stay slow after a change of leader."""
    fleet, paced, link = shared_vm
    fleet.term += 1
    only_best_effort = {key: row for key, row in rows(70).items() if not key.startswith("mixed.0.0")}
    link.pace.update(only_best_effort, now=fleet.now)
    await _settle(link)
    assert set(paced.paces.values()) == {100}


async def test_known_pair_reaches_placement_and_readings_are_counted(shared_vm):
    """Guards against estimates that no placement uses, and against a switch that does not turn them off."""
    fleet, _, link = shared_vm
    model = link.pace.interference
    link.has_acked_term, link.answered_at = True, fleet.now
    dispatcher = Dispatcher(leadership=fleet, links={"vm-1": link}, interference=model)
    for now in (fleet.now, fleet.now + 0.5):
        link.pace.update(rows(TARGET_MS + 1), now=now)
    await _settle(link)
    assert model.counters["serving_over_target_beside_best_effort_ms"] == 500
    model.record_pace([("desk", "batch")], percent=50, now=fleet.now)
    pair = model.images["desk"].pairs["batch"]
    pair.rise, pair.is_known = 1.0, True
    (vm,) = dispatcher.list_free_capacity()["vans"]
    assert (vm.rank_for_serving(STEPS[0]), vm.rank_for_best_effort(STEPS[1])) == (2, (1, 0))
    model.is_enabled = False
    (vm,) = dispatcher.list_free_capacity()["vans"]
    assert not vm.known_pairs


async def restart(link):
    """Lets the next boot of the VM follow, which keeps the runs."""
    await link.boots.replace(make_vm("vm-1", boot=2, sequence=1), replaced_boot=1)


async def test_pace_of_the_boot_before_is_ordered_anew_on_the_next_one(shared_vm, monkeypatch):
    """Guards against best-effort tasks at full pace beside a latency-bound one, after a restart during an order (HARM)."""
    fleet, paced, link = shared_vm
    pace = paced.pace

    async def lose_with_a_restart(**_):
        monkeypatch.setattr(paced, "pace", pace)
        await restart(link)
        raise WorkerUnreachableError("no answer")

    monkeypatch.setattr(paced, "pace", lose_with_a_restart)
    link.pace.update(rows(70), now=fleet.now)
    await _settle(link)
    paced.paces.clear()  # the next boot begins with the runs only now
    link.pace.update(rows(70), now=fleet.now)
    await _settle(link)
    assert paced.paces == {"mixed.0.1.0": FIRST_PERCENT, "mixed.0.1.1": FIRST_PERCENT}


async def test_pace_of_the_next_boot_is_chosen_anew(shared_vm):
    """Guards against best-effort tasks at full pace because a latency-bound task was loaded before its VM restarted."""
    fleet, paced, link = shared_vm
    for tail_ms in (70, 2 * TARGET_MS, 2 * TARGET_MS):
        link.pace.update(rows(tail_ms), now=fleet.now)
        await _settle(link)
        fleet.now += 1.0
    assert set(paced.paces.values()) == {100}, "the load of the task itself is the cause"
    paced.paces.clear()
    await restart(link)
    link.pace.update(rows(70), now=fleet.now)
    await _settle(link)
    assert len(paced.paces) == 2
    assert max(paced.paces.values()) < 100
