"""Placement of waiting tasks while pools are full, or nearly empty."""

from __future__ import annotations

import pytest

from hyssopway.dispatch.free_capacity import FreeCapacity
from hyssopway.dispatch.placement import place_steps
from hyssopway.dispatch.ready_step import ReadyStep
from hyssopway.workflow import Step, Workflow
from workflow.conftest import make_workflow


def make_ready(step, *, name="w"):
    command = make_workflow(name, steps=(step,))
    workflow = Workflow(workflow_id=name, queue="plans", team="pantry", spec=command.spec, accepted_ms=0)
    workflow.add_occurrence(0)
    return ReadyStep(
        workflow=workflow,
        occurrence=0,
        number=0,
        step=step,
        indexes=list(range(step.count)),
        order=(0.0,),
        placed={},
    )


def make_room(name, *, cpu=64_000, labels=("a", "r1"), **fields):
    return FreeCapacity(
        vm_id=name,
        zone="nashua",
        labels=labels,
        cpu_millis=cpu,
        memory_mb=100_000,
        accelerators=0,
        **fields,
    )


def place(*ready, rooms, limit=100):
    left = [limit]

    def takes_limit(_):
        left[0] -= 1
        return left[0] >= 0

    starts = place_steps(
        steps=ready,
        rooms={"vans": list(rooms)},
        pool_of=lambda _: "vans",
        takes_limit=takes_limit,
        max_starts=50,
    )
    return [(start.task, start.vm) for start in starts]


def test_task_goes_to_the_fullest_vm_with_room():
    """Guards against a task that takes the room of a wide one, or keeps a VM from leaving."""
    rooms = [make_room("free"), make_room("half", cpu=9_000), make_room("full", cpu=100)]
    assert place(make_ready(Step(count=1, cpu_millis=5_000)), rooms=rooms) == [("w.0.0.0", "half")]


def test_what_does_not_fit_waits_and_the_next_step_is_served():
    """Guards against a wide step that holds up everything behind it."""
    wide = make_ready(Step(count=1, cpu_millis=70_000), name="wide")
    narrow = make_ready(Step(count=1, cpu_millis=1_000), name="narrow")
    assert place(wide, narrow, rooms=[make_room("vm")]) == [("narrow.0.0.0", "vm")]


def test_spread_limit_holds():
    """Guards against more tasks of a step on one VM than it allows."""
    ready = make_ready(Step(count=3, cpu_millis=100, spread_limit=1))
    placed = place(ready, rooms=[make_room("vm-1"), make_room("vm-2")])
    assert sorted(vm for _, vm in placed) == ["vm-1", "vm-2"]


def test_label_is_required_and_data_rack_is_preferred():
    """Guards against tasks far from their data while there is room near it."""
    rooms = [make_room("far", cpu=5_000, labels=("a", "r2")), make_room("near", labels=("a", "r1"))]
    assert place(make_ready(Step(count=1, data_rack="r1")), rooms=rooms) == [("w.0.0.0", "near")]
    assert place(make_ready(Step(count=1, label="b")), rooms=rooms) == []


def test_vm_that_fails_everything_comes_last():
    """Guards against a grey VM that attracts every task because it is always free."""
    rooms = [make_room("grey", cpu=2_000, suspicion=3), make_room("sound")]
    assert place(make_ready(Step(count=1, cpu_millis=1_000)), rooms=rooms) == [("w.0.0.0", "sound")]


def test_team_at_its_limit_waits():
    """Guards against more running than a team may have."""
    assert len(place(make_ready(Step(count=5, cpu_millis=10)), rooms=[make_room("vm")], limit=2)) == 2


def test_long_running_tasks_share_vms_but_not_all_one():
    """Guards against a step that one lost VM stops, and against a pool that no VM can leave."""
    ready = make_ready(Step(count=4, cpu_millis=1_000, long_running=True))
    placed = place(ready, rooms=[make_room(f"vm-{number}") for number in range(6)])
    used = [vm for _, vm in placed]
    assert len(set(used)) == 2
    assert max(used.count(vm) for vm in used) == 2


def test_long_running_task_avoids_a_vm_that_is_due():
    """Guards against a task that is interrupted again by the same wave."""
    rooms = [make_room("due", cpu=5_000, is_due=True), make_room("other")]
    ready = make_ready(Step(count=1, cpu_millis=100, long_running=True))
    assert place(ready, rooms=rooms) == [("w.0.0.0", "other")]


@pytest.mark.parametrize(("cpu", "expected"), [(3_000, 3), (2_000, 0)])
def test_gang_starts_whole_or_not_at_all(cpu, expected):
    """Guards against members that wait for others that do not fit."""
    ready = make_ready(Step(count=3, cpu_millis=1_000, gang=True))
    assert len(place(ready, rooms=[make_room("vm", cpu=cpu)])) == expected


def test_tightly_coupled_gang_stays_on_one_rack_when_it_fits():
    """Guards against members on two racks while one rack has room for all."""
    rooms = [make_room("a1", cpu=1_000, labels=("a", "r1")), make_room("b1", labels=("a", "r2"))]
    ready = make_ready(Step(count=3, cpu_millis=1_000, gang=True, tightly_coupled=True))
    assert {vm for _, vm in place(ready, rooms=rooms)} == {"b1"}
