"""Tasks that crash each VM that starts them, beside sound tasks."""

from __future__ import annotations

import pytest

from dispatch.crashing_vms import CrashingFleet
from hyssopway.workflow import Step, WorkflowStatus
from workflow.conftest import make_workflow

DEADLY = "deadly.0.0.0"
# A task may be started this many times after three VMs have crashed under it.
MAX_STARTS_AFTER_THREE_CRASHES = 2


def starts_after_three_crashes(fleet, task=DEADLY):
    crashes = fleet.vms.crashes[task]
    if len(crashes) < 3:
        return 0
    return sum(at > crashes[2] for at in fleet.vms.starts[task])


def make_deadly(*, count=1, **step):
    return make_workflow("deadly", steps=(Step(count=count, cpu_millis=1000, estimate_ms=600, **step),))


def make_sound(number):
    steps = (Step(count=4, cpu_millis=1000, estimate_ms=600), Step(count=2, cpu_millis=1000, after=(0,)))
    return make_workflow(f"sound-{number}", steps=steps)


@pytest.mark.parametrize("outage_s", [0.5, 3.3, 7.0])
@pytest.mark.parametrize("returns_as_new", [False, True])
@pytest.mark.parametrize(
    ("answers_first", "is_dark"),
    [(True, False), (False, False), (False, True)],
    ids=["answers", "broken", "dark"],
)
async def test_task_that_crashes_its_vms_is_given_up(*, outage_s, returns_as_new, answers_first, is_dark):
    """Guards against one task that crashes VM after VM because runs lost with their VM were not counted."""
    fleet = CrashingFleet(deadly={DEADLY}, outage_s=outage_s, returns_as_new=returns_as_new)
    fleet.vms.answers_first, fleet.vms.is_dark = answers_first, is_dark
    await fleet.set_up(make_deadly(), *(make_sound(number) for number in range(4)))
    await fleet.advance(60.0)
    assert starts_after_three_crashes(fleet) <= MAX_STARTS_AFTER_THREE_CRASHES
    assert fleet.workflows["deadly"].status is WorkflowStatus.FAILED
    for number in range(4):
        assert fleet.workflows[f"sound-{number}"].status is WorkflowStatus.COMPLETED


async def test_crashes_are_counted_over_changes_of_leader():
    """Guards against a new leader that does not know the crashes under a task and starts it anew."""
    fleet = CrashingFleet(deadly={DEADLY})
    await fleet.set_up(make_deadly(), make_sound(0))
    seen = 0
    for _ in range(600):
        await fleet.advance(0.1)
        if len(fleet.vms.crashes[DEADLY]) > seen:
            seen = len(fleet.vms.crashes[DEADLY])
            await fleet.advance(0.2)
            fleet.change_leader()
    assert starts_after_three_crashes(fleet) <= MAX_STARTS_AFTER_THREE_CRASHES
    assert fleet.workflows["deadly"].status is WorkflowStatus.FAILED
    assert fleet.workflows["sound-0"].status is WorkflowStatus.COMPLETED


async def test_copies_do_not_multiply_the_crashes():
    """Guards against copies of runs on silent VMs that carry a task which crashes its VMs to further VMs."""
    fleet = CrashingFleet(deadly={DEADLY})
    await fleet.set_up(make_deadly(count=3, duplicates=True))
    await fleet.advance(60.0)
    assert starts_after_three_crashes(fleet) <= MAX_STARTS_AFTER_THREE_CRASHES
    assert fleet.workflows["deadly"].status is WorkflowStatus.FAILED


async def test_long_running_task_that_crashes_its_vms_is_held_back():
    """Guards against a long-running task that crashes VM after VM, since its failures are never counted."""
    fleet = CrashingFleet(deadly={DEADLY})
    await fleet.set_up(make_deadly(long_running=True), make_sound(0))
    await fleet.advance(60.0)
    assert starts_after_three_crashes(fleet) <= MAX_STARTS_AFTER_THREE_CRASHES
    assert fleet.workflows["sound-0"].status is WorkflowStatus.COMPLETED


async def test_long_running_tasks_work_on_while_another_of_their_workflow_crashes_its_vms():
    """Guards against tasks at work that are stopped beyond their allowance since another one is deadly (AVAIL)."""
    fleet = CrashingFleet(deadly={DEADLY})
    await fleet.set_up(make_deadly(count=3, long_running=True))
    await fleet.advance(60.0)
    assert starts_after_three_crashes(fleet) <= MAX_STARTS_AFTER_THREE_CRASHES
    assert fleet.workflows["deadly"].status is WorkflowStatus.RUNNING
    assert {task for task, _ in fleet.vms.running} == {"deadly.0.0.1", "deadly.0.0.2"}
    assert not any(order == "stop" for order, _, _ in fleet.vms.orders)


async def test_two_tasks_that_crash_their_vms_are_both_given_up():
    """Guards against an end to only one of two chains of crashes in a small pool."""
    other = make_workflow("other", steps=(Step(count=2, cpu_millis=1000, estimate_ms=600),))
    fleet = CrashingFleet(deadly={DEADLY, "other.0.0.1"})
    await fleet.set_up(make_deadly(count=2), other, *(make_sound(number) for number in range(3)), vms=4)
    await fleet.advance(60.0)
    for task in (DEADLY, "other.0.0.1"):
        assert starts_after_three_crashes(fleet, task) <= MAX_STARTS_AFTER_THREE_CRASHES
    assert fleet.workflows["deadly"].status is WorkflowStatus.FAILED
    assert fleet.workflows["other"].status is WorkflowStatus.FAILED
    for number in range(3):
        assert fleet.workflows[f"sound-{number}"].status is WorkflowStatus.COMPLETED


async def test_sound_tasks_are_not_lost_with_a_deadly_one_again_and_again():
    """Guards against placing the tasks that were lost together on one VM again, so that sound ones never end."""
    fleet = CrashingFleet(deadly={DEADLY})
    sound = make_workflow("sound-0", steps=(Step(count=7, cpu_millis=1000, estimate_ms=600),))
    await fleet.set_up(sound, make_deadly(), vms=3)
    await fleet.advance(12.0)
    assert fleet.workflows["sound-0"].status is WorkflowStatus.COMPLETED
