"""Placement of tasks under which VMs have ended."""

from __future__ import annotations

from dispatch.crashing_vms import CrashingFleet
from hyssopway.dispatch import WorkerUnreachableError
from hyssopway.workflow import Step, WorkflowStatus
from workflow.conftest import make_workflow

DEADLY = "deadly.0.0.0"


def make_job(name, *, count=1, **step):
    return make_workflow(name, steps=(Step(count=count, cpu_millis=1000, estimate_ms=600, **step),))


async def test_second_vm_is_the_last_that_a_task_crashes_at_its_start():
    """Guards against a third crash when nothing else can have caused the first two."""
    fleet = CrashingFleet(deadly={DEADLY})
    await fleet.set_up(make_job("deadly"))
    await fleet.advance(15.0)
    assert len(fleet.vms.crashes[DEADLY]) == 2
    assert fleet.workflows["deadly"].status is WorkflowStatus.FAILED


async def test_copy_is_no_third_chance_to_crash_a_vm():
    """Guards against a copy of a task whose VM has ended right after its start."""
    fleet = CrashingFleet(deadly={DEADLY})
    await fleet.set_up(make_job("deadly", duplicates=True))
    await fleet.advance(15.0)
    assert len(fleet.vms.crashes[DEADLY]) == 2
    assert fleet.workflows["deadly"].status is WorkflowStatus.FAILED


async def test_tasks_that_were_started_together_do_not_share_a_vm_again():
    """Guards against losing sound tasks with the deadly one a second time, which makes them suspects as well."""
    fleet = CrashingFleet(deadly={DEADLY})
    await fleet.set_up(make_job("deadly"), *(make_job(f"sound-{number}") for number in range(5)), vms=1)
    for _ in range(5):
        await fleet.add_vm()
    await fleet.advance(0.5)
    assert len(fleet.vms.crashes[DEADLY]) == 1
    await fleet.advance(20.0)
    assert len(fleet.vms.crashes[DEADLY]) == 2
    for number in range(5):
        progress = fleet.workflows[f"sound-{number}"].progress[0][0]
        assert fleet.workflows[f"sound-{number}"].status is WorkflowStatus.COMPLETED
        assert progress.last_run[0] <= 2


async def test_vms_that_are_lost_without_a_deadly_task_cost_no_job():
    """Guards against giving up sound tasks when racks lose power again and again."""
    fleet = CrashingFleet(deadly=set())
    jobs = [make_job(f"sound-{number}", count=4) for number in range(10)]
    await fleet.set_up(*jobs, vms=8)
    for _ in range(6):
        for vm_id in list(fleet.leadership.state.tables.vms)[-4:]:
            fleet.vms.crash(vm_id, task="power")
        await fleet.advance(4.0)
    await fleet.advance(20.0)
    assert {workflow.status for workflow in fleet.workflows.values()} == {WorkflowStatus.COMPLETED}


async def test_order_that_a_vm_left_unanswered_is_not_blamed_for_its_end():
    """Guards against giving up a sound task whose orders are lost on VMs that happen to crash a moment later."""
    fleet = CrashingFleet(deadly=set())
    await fleet.set_up(make_job("sound"))
    start = fleet.vms.start

    async def lose_order(**_):
        raise WorkerUnreachableError("no answer within 0.1 s")

    fleet.vms.start = lose_order
    for _ in range(4):
        await fleet.advance(0.1)
        (run,) = fleet.leadership.state.tables.runs["sound.0.0.0"]
        await fleet.advance(0.2)
        fleet.vms.crash(run.vm, task="power")
        await fleet.advance(4.0)
    fleet.vms.start = start
    await fleet.advance(10.0)
    assert fleet.workflows["sound"].status is WorkflowStatus.COMPLETED
