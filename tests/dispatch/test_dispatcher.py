"""Rounds of placement at the peak of a turn."""

from __future__ import annotations

import json

import pytest
from loguru import logger

from dispatch.conftest import make_link
from hyssopway.dispatch.dispatcher import Dispatcher
from hyssopway.event import Event
from hyssopway.workflow import CancelWorkflow, Capacity, RegisterVm, Step
from workflow.conftest import make_workflow

VM_COUNT = 50
CORES_A_VM = 64
# Tasks of a turn that arrive together; the VMs have room for all of them.
WORKFLOWS = 40
TASKS = 8
MAX_LINE_BYTES = 8000


def is_start_line(record):
    return record["extra"].get("event") == Event.RUNS_ORDERED.number


@pytest.fixture
async def dispatcher(fleet, vms):
    await fleet.propose(CancelWorkflow(workflow_id="w", at_ms=0))
    links = {}
    for number in range(VM_COUNT):
        vm_id = f"big-{number}"
        await fleet.propose(
            RegisterVm(
                vm=vm_id,
                boot=1,
                address="10.0.1.1:80",
                pool="vans",
                zone="nashua",
                labels=("a",),
                capacity=Capacity(cpu_millis=CORES_A_VM * 1000, memory_mb=128_000),
                draining=False,
                at_ms=0,
            )
        )
        links[vm_id] = make_link(vm_id, leadership=fleet, calls=vms)
        await links[vm_id].poll()
    return Dispatcher(leadership=fleet, links=links)


async def test_one_round_fills_the_machines_that_a_turn_brings(dispatcher, fleet):
    """Guards against free machines beside thousands of waiting cores.

    A round agrees on its starts first, which takes as long for few as for many; at the peak of a turn the rounds of a
    leader of 180 VMs followed each other 11 times a second, and 500 starts a second are what the platform asks for.
    """
    step = Step(count=TASKS, cpu_millis=5700, memory_mb=500, estimate_ms=640)
    for number in range(WORKFLOWS):
        await fleet.propose(make_workflow(f"w{number}", steps=(step,)))
    await dispatcher.start_waiting()
    assert len(fleet.state.tables.runs) == WORKFLOWS * TASKS
    assert dispatcher.waiting_millis == {}


async def test_each_start_of_a_large_round_is_logged(dispatcher, fleet):
    """Guards against starts that nobody can trace, because the reader of a log cuts a line with hundreds of runs."""
    step = Step(count=TASKS, cpu_millis=5700, memory_mb=500, estimate_ms=640)
    for number in range(WORKFLOWS):
        await fleet.propose(make_workflow(f"{number:016x}", steps=(step,)))
    lines = []
    handler = logger.add(lines.append, format="{message}", filter=is_start_line)
    await dispatcher.start_waiting()
    logger.remove(handler)
    logged = [key for line in lines for key in line.record["extra"]["runs"]]
    assert len(logged) == len(set(logged)) == WORKFLOWS * TASKS
    assert max(len(json.dumps(line.record["extra"])) for line in lines) < MAX_LINE_BYTES


async def test_work_without_room_is_counted_as_waiting(dispatcher, fleet):
    """Guards against a pool whose demand is not seen because a part of a step has started."""
    await fleet.propose(make_workflow("wide", steps=(Step(count=VM_COUNT + 3, cpu_millis=40_000),)))
    await dispatcher.start_waiting()
    assert len(fleet.state.tables.runs) == VM_COUNT
    assert dispatcher.waiting_millis == {"vans": 3 * 40_000}
