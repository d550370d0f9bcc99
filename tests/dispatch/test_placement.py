"""Placement of waiting tasks on VMs with different free capacity."""

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


def make_free_capacity(name, *, cpu=64_000, labels=("a", "r1"), **fields):
    return FreeCapacity(
        vm_id=name,
        zone="nashua",
        labels=labels,
        cpu_millis=cpu,
        memory_mb=100_000,
        accelerators=0,
        **fields,
    )


def place_ready(*ready, vms, limit=100):
    left = [limit]

    def reserve_for_team(_, count):
        if left[0] < count:
            return False
        left[0] -= count
        return True

    starts = place_steps(
        steps=ready,
        free_by_pool={"vans": list(vms)},
        pool_of=lambda _: "vans",
        reserve_for_team=reserve_for_team,
        max_starts=50,
    )
    return [(start.task, start.vm) for start in starts]


def test_task_goes_to_the_vm_with_the_least_free_cpu_that_fits():
    """Guards against a task on an idle VM, which could fit a large task or leave the pool instead."""
    vms = [
        make_free_capacity("free"),
        make_free_capacity("half", cpu=9_000),
        make_free_capacity("full", cpu=100),
    ]
    assert place_ready(make_ready(Step(count=1, cpu_millis=5_000)), vms=vms) == [("w.0.0.0", "half")]


def test_step_that_does_not_fit_does_not_block_the_next_one():
    """Guards against head-of-line blocking by a step that fits no VM."""
    wide = make_ready(Step(count=1, cpu_millis=70_000), name="wide")
    narrow = make_ready(Step(count=1, cpu_millis=1_000), name="narrow")
    assert place_ready(wide, narrow, vms=[make_free_capacity("vm")]) == [("narrow.0.0.0", "vm")]


def test_spread_limit_is_kept():
    """Guards against more tasks of a step on one VM than its spread limit allows."""
    ready = make_ready(Step(count=3, cpu_millis=100, spread_limit=1))
    placed = place_ready(ready, vms=[make_free_capacity("vm-1"), make_free_capacity("vm-2")])
    assert sorted(vm for _, vm in placed) == ["vm-1", "vm-2"]


def test_label_is_required_and_data_rack_is_preferred():
    """Guards against tasks on another rack than their data while that rack has room."""
    vms = [
        make_free_capacity("far", cpu=5_000, labels=("a", "r2")),
        make_free_capacity("near", labels=("a", "r1")),
    ]
    assert place_ready(make_ready(Step(count=1, data_rack="r1")), vms=vms) == [("w.0.0.0", "near")]
    assert place_ready(make_ready(Step(count=1, label="b")), vms=vms) == []


def test_vm_with_recent_failures_is_used_last():
    """Guards against a VM with a gray failure that attracts all tasks: it fails them at once and so is always free."""
    vms = [make_free_capacity("grey", cpu=2_000, recent_failures=3), make_free_capacity("sound")]
    assert place_ready(make_ready(Step(count=1, cpu_millis=1_000)), vms=vms) == [("w.0.0.0", "sound")]


def test_team_at_its_limit_waits():
    """Guards against a team that runs more than its upper limit."""
    assert (
        len(place_ready(make_ready(Step(count=5, cpu_millis=10)), vms=[make_free_capacity("vm")], limit=2))
        == 2
    )


def test_long_running_tasks_are_packed_on_at_least_two_vms():
    """Guards against a step that stops with one lost VM, and against tasks on so many VMs that none can leave."""
    ready = make_ready(Step(count=4, cpu_millis=1_000, long_running=True))
    placed = place_ready(ready, vms=[make_free_capacity(f"vm-{number}") for number in range(6)])
    used = [vm for _, vm in placed]
    assert len(set(used)) == 2
    assert max(used.count(vm) for vm in used) == 2


def test_long_running_task_joins_others_so_that_machines_can_leave():
    """Guards against long-running tasks on a VM that is full of short ones, which would leave its pool after them."""
    vms = [make_free_capacity("burst", cpu=5_000), make_free_capacity("kept", has_long_running=True)]
    ready = make_ready(Step(count=1, cpu_millis=100, long_running=True))
    assert place_ready(ready, vms=vms) == [("w.0.0.0", "kept")]


def test_long_running_task_avoids_a_vm_that_awaits_maintenance():
    """Guards against a second interruption of a task by the same wave."""
    vms = [make_free_capacity("due", cpu=5_000, awaits_maintenance=True), make_free_capacity("other")]
    ready = make_ready(Step(count=1, cpu_millis=100, long_running=True))
    assert place_ready(ready, vms=vms) == [("w.0.0.0", "other")]


@pytest.mark.parametrize(("cpu", "expected"), [(3_000, 3), (2_000, 0)])
def test_gang_starts_with_all_members_or_none(cpu, expected):
    """Guards against gang members that run while the others do not fit."""
    ready = make_ready(Step(count=3, cpu_millis=1_000, gang=True))
    assert len(place_ready(ready, vms=[make_free_capacity("vm", cpu=cpu)])) == expected


def test_tightly_coupled_gang_stays_on_one_rack_when_it_fits():
    """Guards against gang members on two racks while one rack has room for all."""
    vms = [
        make_free_capacity("a1", cpu=1_000, labels=("a", "r1")),
        make_free_capacity("b1", labels=("a", "r2")),
    ]
    ready = make_ready(Step(count=3, cpu_millis=1_000, gang=True, tightly_coupled=True))
    assert {vm for _, vm in place_ready(ready, vms=vms)} == {"b1"}
