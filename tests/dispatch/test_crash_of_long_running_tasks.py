"""Long-running tasks whose VM crashed right after it had started them."""

from __future__ import annotations

from collections import Counter

import pytest

from dispatch.crashing_vms import STEP_S, CrashingFleet
from hyssopway.dispatch import dispatcher, free_vms, vm_boots
from hyssopway.workflow import Step
from workflow.conftest import make_workflow

TASKS = 60
# The rules count a task that waits for longer, with room for it, as lost.
MAX_WAIT_S = 3.0
DEADLY = "standing.0.0.7"


class WaitingTimes:
    """Measures how long each task of a workflow has no run.

    Attributes:
        fleet: Fleet that the tasks run on.
        since: Time since which a task has had no run, by task.
        longest_s: Longest time for which any task had no run, in seconds.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.since = {}
        self.longest_s = 0.0

    def measure(self):
        now = self.fleet.leadership.now
        for number in range(TASKS):
            task = f"standing.0.0.{number}"
            if self.fleet.leadership.state.tables.runs.get(task):
                self.since.pop(task, None)
            else:
                self.longest_s = max(self.longest_s, now - self.since.setdefault(task, now))


@pytest.fixture
async def fleet(monkeypatch):
    """Eight VMs, each of which has room for all tasks."""
    fleet = CrashingFleet(deadly=set())
    for module in (dispatcher, free_vms, vm_boots):
        monkeypatch.setattr(module, "wall_ms", lambda: round(fleet.leadership.now * 1000))
    await fleet.set_up(vms=8)
    return fleet


def make_standing():
    steps = (Step(count=TASKS, cpu_millis=100, estimate_ms=1000, long_running=True),)
    return make_workflow("standing", steps=steps)


async def start_tasks_on_two_vms(fleet):
    """Starts the tasks and returns a VM that has half of them."""
    await fleet.leadership.propose(make_standing())
    await fleet.advance(STEP_S)
    counts = Counter(fleet.vms.running.values())
    assert sorted(counts.values()) == [TASKS // 2, TASKS // 2]
    return next(iter(counts))


@pytest.mark.parametrize("returns_as_new", [True, False], ids=["new ID", "same ID"])
async def test_long_running_tasks_of_a_crashed_vm_do_not_wait_for_isolated_ones(fleet, *, returns_as_new):
    """Guards against tasks without a run on nearly empty VMs, since each VM has an isolated one (LOST)."""
    fleet.vms.returns_as_new = returns_as_new
    crashed = await start_tasks_on_two_vms(fleet)
    fleet.vms.crash(crashed, task="power")
    times = WaitingTimes(fleet)
    await fleet.advance(40.0, on_step=times.measure)
    assert times.longest_s <= MAX_WAIT_S
    assert len(fleet.vms.running) == TASKS


async def test_deadly_one_of_many_long_running_tasks_is_found(fleet):
    """Guards against suspects that share VMs, so that it never shows which of them crashes its VMs."""
    fleet.vms.deadly = {DEADLY}
    await fleet.leadership.propose(make_standing())
    await fleet.advance(60.0)
    crashes = fleet.vms.crashes[DEADLY]
    assert len(crashes) == 4  # the fourth follows when the time for which it is held back has passed
    assert crashes[3] - crashes[2] >= 30.0
    assert {task for task, _ in fleet.vms.running} == {
        f"standing.0.0.{number}" for number in range(TASKS) if number != 7
    }
    counts = fleet.leadership.state.indexes.suspects.crashes
    assert [task for task, count in counts.items() if count.at_start >= 3] == [DEADLY]
