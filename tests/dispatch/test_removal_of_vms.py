"""Removal of the records of VMs, decided while other commands are on their way."""

from __future__ import annotations

import asyncio

import pytest

from dispatch.conftest import LIMITS, make_link
from hyssopway.dispatch import LeaderController
from hyssopway.dispatch.vm_link import REMOVE_AFTER_S
from hyssopway.workflow import EndRuns, RunStart, StartRuns


@pytest.fixture
async def controller(fleet, vms):
    built = LeaderController(leadership=fleet, calls=vms, machines=None, advisor=None, limits=LIMITS)
    link = built.links["vm-1"] = make_link("vm-1", leadership=fleet, calls=vms)
    await link.poll()
    return built


def list_runs(fleet):
    return sorted(run.key for runs in fleet.state.tables.runs.values() for run in runs)


async def test_vm_that_answers_while_its_runs_are_ended_is_not_removed(controller, fleet, vms, monkeypatch):
    """Guards against a second run of a task that a VM got between the two commands of its removal (TWICE)."""
    link = controller.links["vm-1"]
    await fleet.propose(StartRuns(fencing_token=3, starts=(RunStart(task="w.0.0.0", run=1, vm="vm-1"),)))
    vms.running["w.0.0.0", 1] = "vm-1"
    await link.poll()
    vms.silent = True
    for _ in range(3):  # the first poll without an answer may still have renewed the lease
        fleet.now += REMOVE_AFTER_S
        await link.poll()
    assert fleet.state.tables.vms["vm-1"].lapsed
    vms.silent = False
    vms.running.clear()
    propose = fleet.propose

    async def answer_meanwhile(command):
        await propose(command)
        if isinstance(command, EndRuns) and command.boot_ended:
            await link.poll()
            await controller.dispatcher.run_round()
            await asyncio.gather(*controller.dispatcher.sending)

    monkeypatch.setattr(fleet, "propose", answer_meanwhile)
    await controller._remove_silent_vms()
    assert vms.running
    assert list_runs(fleet) == sorted(f"{task}/{run}" for task, run in vms.running)


async def test_late_departure_does_not_end_a_start_that_is_being_committed(
    controller, fleet, vms, monkeypatch
):
    """Guards against a second run of a task whose start is committed right before a removal by an old departure (TWICE)."""
    propose, behind = fleet.propose, []

    async def propose_behind(command):
        behind.append(command)

    async def commit_late(command):
        assert isinstance(command, StartRuns)
        monkeypatch.setattr(fleet, "propose", propose_behind)
        fleet.now += 2.0  # the VM has not answered for some time
        await controller.handle_departure(vm="vm-1")
        await propose(command)

    monkeypatch.setattr(fleet, "propose", commit_late)
    await controller.dispatcher.run_round()
    await asyncio.gather(*controller.dispatcher.sending)
    for command in behind:
        fleet.apply(command)
    assert vms.running
    assert list_runs(fleet) == sorted(f"{task}/{run}" for task, run in vms.running)
