"""Scheduling rounds at peak load."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace

import pytest
from loguru import logger

from dispatch.conftest import make_link
from hyssopway.dispatch.dispatcher import Dispatcher
from hyssopway.dispatch.leader_load import STARTS
from hyssopway.dispatch.leadership import LeadershipLostError
from hyssopway.event import Event
from hyssopway.workflow import CancelWorkflow, Capacity, PutDocument, RegisterVm, Step
from workflow.conftest import make_document, make_workflow

VM_COUNT = 50
CORES_PER_VM = 64
# Workflows that arrive together; the VMs have room for all their tasks.
WORKFLOW_COUNT = 40
TASKS_PER_WORKFLOW = 8
MAX_LINE_BYTES = 8000


def is_runs_ordered(record):
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
                capacity=Capacity(cpu_millis=CORES_PER_VM * 1000, memory_mb=128_000),
                draining=False,
                at_ms=0,
            )
        )
        links[vm_id] = make_link(vm_id, leadership=fleet, calls=vms)
        await links[vm_id].poll()
    return Dispatcher(leadership=fleet, links=links)


async def test_one_round_places_all_tasks_that_fit(dispatcher, fleet):
    """Guards against idle machines while tasks for thousands of cores wait.

    A round replicates its starts before it sends them, which takes as long for few as for many. At peak load a leader
    of 180 VMs ran 11 rounds per second, and the platform requires 500 starts per second.
    """
    step = Step(count=TASKS_PER_WORKFLOW, cpu_millis=5700, memory_mb=500, estimate_ms=640)
    for number in range(WORKFLOW_COUNT):
        await fleet.propose(make_workflow(f"w{number}", steps=(step,)))
    await dispatcher.run_round()
    assert len(fleet.state.tables.runs) == WORKFLOW_COUNT * TASKS_PER_WORKFLOW
    assert dispatcher.waiting_millis == {}


async def test_each_start_of_a_large_round_is_logged(dispatcher, fleet):
    """Guards against starts that cannot be traced because log readers truncate a line with hundreds of runs."""
    step = Step(count=TASKS_PER_WORKFLOW, cpu_millis=5700, memory_mb=500, estimate_ms=640)
    for number in range(WORKFLOW_COUNT):
        await fleet.propose(make_workflow(f"{number:016x}", steps=(step,)))
    lines = []
    handler = logger.add(lines.append, format="{message}", filter=is_runs_ordered)
    await dispatcher.run_round()
    logger.remove(handler)
    logged = [key for line in lines for key in line.record["extra"]["runs"]]
    assert len(logged) == len(set(logged)) == WORKFLOW_COUNT * TASKS_PER_WORKFLOW
    assert max(len(json.dumps(line.record["extra"])) for line in lines) < MAX_LINE_BYTES


async def test_unplaced_tasks_count_as_waiting(dispatcher, fleet):
    """Guards against ignoring the demand of a step of which only some tasks have started."""
    await fleet.propose(make_workflow("wide", steps=(Step(count=VM_COUNT + 3, cpu_millis=40_000),)))
    await dispatcher.run_round()
    assert len(fleet.state.tables.runs) == VM_COUNT
    assert dispatcher.waiting_millis == {"vans": 3 * 40_000}


async def test_start_whose_commit_was_not_confirmed_is_resolved(dispatcher, fleet, vms):
    """Guards against a task that stays without a run until the next term.

    The commit of a start took longer than the leader waited for it, and nothing was sent to the VM. The run must be
    stopped and ended, so that the task can start again.
    """
    await fleet.propose(make_workflow("late", steps=(Step(count=1, cpu_millis=1000),)))
    propose = fleet.propose

    async def commit_late(command):
        await propose(command)
        raise LeadershipLostError("no quorum within 3 s")

    fleet.propose = commit_late
    with pytest.raises(LeadershipLostError):
        await dispatcher.run_round()
    fleet.propose = propose
    (run,) = fleet.state.tables.runs["late.0.0.0"]
    link = dispatcher.links[run.vm]
    for _ in range(4):
        fleet.now += 1.0
        await link.poll()
        await asyncio.gather(*link.orders.sending)
    assert vms.orders == [("stop", "late.0.0.0", 1)]
    assert "late.0.0.0" not in fleet.state.tables.runs


async def test_team_beyond_its_share_is_served_after_the_others(dispatcher, fleet):
    """Guards against one team that takes a whole pool because its workflows are shorter than those of others."""
    document = make_document(version=2)
    names = ("large", *"abcdefg")
    teams = tuple(replace(document.teams[0], name=name, keys=(name,)) for name in names)
    await fleet.propose(PutDocument(document=replace(document, teams=teams)))
    # The pool has room for ten steps; seven small teams have one each, so the fair share of the large one is three.
    for number in range(30):
        team = names[number] if number < len(names) else "large"
        step = Step(count=10, cpu_millis=32_000, estimate_ms=600 if team == "large" else 700)
        await fleet.propose(replace(make_workflow(f"w{number}", steps=(step,)), team=team))
    await dispatcher.run_round()
    usage = {team: use.runs for team, use in fleet.state.indexes.pool_usage["vans"].items()}
    assert usage["large"] == 50
    assert sum(usage.values()) == 100
    assert dispatcher.shares.counters["share_rounds"] == 0
    await dispatcher.run_round()
    assert dispatcher.shares.counters["share_rounds"] == 1


async def test_start_that_is_skipped_as_it_is_committed_is_not_logged_as_ordered(
    dispatcher, fleet, monkeypatch
):
    """Guards against a log that shows the order of a run which no VM ever got."""
    for name in ("cancelled", "kept"):
        await fleet.propose(make_workflow(name, steps=(Step(count=1, cpu_millis=1000),)))
    propose = fleet.propose

    async def propose_after_a_cancellation(command):
        await propose(CancelWorkflow(workflow_id="cancelled", at_ms=6))
        await propose(command)

    monkeypatch.setattr(fleet, "propose", propose_after_a_cancellation)
    lines = []
    handler = logger.add(lines.append, format="{message}", filter=is_runs_ordered)
    await dispatcher.run_round()
    logger.remove(handler)
    assert [list(line.record["extra"]["runs"]) for line in lines] == [["kept.0.0.0/1"]]
    assert dispatcher.counters[STARTS] == 1
