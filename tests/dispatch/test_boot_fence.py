"""Tokens that tell the calls for one boot of a VM from those for the boots before.

A minion keeps the highest token that it has seen and does nothing for a lower one; its next boot has seen none.
"""

from __future__ import annotations

import pytest

from dispatch.conftest import LIMITS, FakeLeadership
from dispatch.model_fleet import ModelFleet
from hyssopway.dispatch.boot_counts import BootCounts
from hyssopway.dispatch.boot_fence import MAX_BOOTS, BootFence
from hyssopway.dispatch.withheld_vms import find_withheld_vms
from hyssopway.workflow import (
    BOOT_FENCES_VERSION,
    PutDocument,
    RunOutcome,
    SetStateVersion,
    Step,
)
from workflow.conftest import make_document, make_vm, make_workflow

STEP_S = 0.1
# A task that lasts may be without a run for 6 s after its last run, and 3 s more.
MAX_WITHOUT_RUN_S = 9.0
LASTING = Step(count=1, cpu_millis=200, long_running=True)


def make_fence(leadership, counts=None):
    return BootFence(vm_id="vm-1", leadership=leadership, counts=BootCounts() if counts is None else counts)


def test_token_rises_with_each_boot_and_stays_below_that_of_the_next_term(leadership):
    """Guards against a next leader whose calls a VM refuses, and against two boots with one token."""
    fence = make_fence(leadership)
    tokens = [fence.token]
    for _ in range(3):
        fence.begin_boot()
        tokens.append(fence.token)
    assert tokens == sorted(set(tokens))
    successor = FakeLeadership()
    successor.term = leadership.term + 1
    assert make_fence(successor).token > tokens[-1]


def test_token_does_not_fall_when_a_vm_comes_back_in_the_same_term(leadership):
    """Guards against a VM that refuses all calls of its leader, which has made a link to its ID anew."""
    counts = BootCounts()
    first = make_fence(leadership, counts)
    first.begin_boot()
    second = make_fence(leadership, counts)
    assert second.token >= first.token
    second.begin_boot()
    assert second.token > first.earlier_token


def test_token_does_not_reach_the_next_term_by_many_boots(leadership):
    """Guards against a VM that restarts without end and then refuses the calls of the next leader."""
    counts = BootCounts()
    counts.counts["vm-1"] = 2 * MAX_BOOTS
    fence = make_fence(leadership, counts)
    successor = FakeLeadership()
    successor.term = leadership.term + 1
    fence.begin_boot()
    assert fence.token < make_fence(successor).token
    assert not fence.record_answer(fence.token)


def test_token_is_the_term_while_a_release_without_fences_may_lead():
    """Guards against a leader of the release before whose calls all VMs refuse as lower ones."""
    leadership = FakeLeadership(version=BOOT_FENCES_VERSION - 1)
    fence = make_fence(leadership)
    fence.begin_boot()
    assert fence.token == leadership.term
    assert not fence.record_answer(fence.token)
    leadership.apply(SetStateVersion(version=BOOT_FENCES_VERSION))
    assert fence.record_answer(fence.token)


def test_answer_to_an_earlier_token_does_not_close_a_boot(leadership):
    """Guards against calls that are taken for refused although the answer came from a VM that has not seen the new token."""
    fence = make_fence(leadership)
    token = fence.token
    fence.begin_boot()
    assert not fence.record_answer(token)
    assert fence.record_answer(fence.token)
    assert not fence.record_answer(fence.token)
    fence.begin_boot()
    assert not fence.is_closed


@pytest.fixture
async def fleet(leadership):
    leadership.begin_long_ago()
    await leadership.propose(PutDocument(document=make_document()))
    result = ModelFleet(leadership)
    for name in ("vm-1", "vm-2"):
        await result.join(name)
    for _ in range(10):  # so long that the clock of this boot is far ahead of that of the next one
        await result.poll()
        result.advance(2.0)
    await result.poll()
    return result


async def restart_while_polled(fleet, name, *, boot=2):
    """Restarts a VM while a poll that renews its lease is open, which the next boot may carry out late."""
    fleet.network.fault = "delay"
    await fleet.links[name].poll()
    fleet.network.fault = "deliver"
    fleet.workers[name].restart()
    await fleet.poll()
    await fleet.leadership.propose(make_vm(name, boot=boot, sequence=1))
    await fleet.poll()


async def wait_for_next_run(fleet, task, *, lost):
    """Returns for how long a task has no run after a VM has fallen silent."""
    fleet.network.down.clear()
    silent_s = 0.0
    while not any(task in worker.live for name, worker in fleet.workers.items() if name != lost):
        for name, link in fleet.links.items():
            fleet.network.fault = "lose" if name == lost else "deliver"
            await link.poll()
        fleet.network.fault = "deliver"
        await fleet.run_round()
        fleet.advance(STEP_S)
        silent_s += STEP_S
        assert silent_s < 60.0
    return silent_s


async def test_lasting_task_of_a_restarted_vm_that_is_lost_soon_runs_again_in_time(fleet):
    """Guards against a wait for calls that the VM carries out no more, for 13 s and the longest lease (LOST)."""
    await restart_while_polled(fleet, "vm-1")
    fleet.leadership.state.tables.vms["vm-2"].draining = True  # only the restarted VM gets tasks for now
    await fleet.leadership.propose(make_workflow("steady", steps=(LASTING,)))
    await fleet.run_round()
    assert "steady.0.0.0" in fleet.workers["vm-1"].live
    for _ in range(35):
        fleet.advance(STEP_S)
        await fleet.poll()
    fleet.leadership.state.tables.vms["vm-2"].draining = False
    assert await wait_for_next_run(fleet, "steady.0.0.0", lost="vm-1") <= MAX_WITHOUT_RUN_S


async def test_run_of_a_restarted_vm_that_is_cut_off_ends_before_the_next_one_starts(fleet):
    """Guards against the shorter wait being too short: the late poll gave the longest lease right before the answer (TWICE)."""
    worker = fleet.workers["vm-1"]
    fleet.network.fault = "delay"
    await fleet.links["vm-1"].poll()
    fleet.network.fault = "deliver"
    worker.restart()
    await fleet.links["vm-1"].poll()
    fleet.network.deliver_delayed()
    assert worker.lease_until_ms == pytest.approx(worker.clock_ms + 1000 * LIMITS.longest_lease_s)
    await fleet.leadership.propose(make_vm("vm-1", boot=2, sequence=1))
    fleet.leadership.state.tables.vms["vm-2"].draining = True
    await fleet.poll()
    await fleet.leadership.propose(
        make_workflow("once", steps=(Step(count=1, cpu_millis=200, estimate_ms=600_000),))
    )
    await fleet.run_round()
    assert "once.0.0.0" in worker.live
    fleet.leadership.state.tables.vms["vm-2"].draining = False
    await wait_for_next_run(fleet, "once.0.0.0", lost="vm-1")
    assert not worker.working()


async def test_late_calls_for_the_boot_before_do_nothing_after_the_first_answer(fleet):
    """Guards against a lease, a start or a forgotten end by calls that are carried out by another boot than meant."""
    worker = fleet.workers["vm-1"]
    worker.live["other.0.0.0"] = 1
    worker.finish("other.0.0.0", RunOutcome.DONE)
    await fleet.poll()
    fleet.network.fault = "delay"
    await fleet.links["vm-1"].poll()  # renews the lease and acknowledges the end
    await fleet.leadership.propose(make_workflow("once", steps=(Step(count=1, cpu_millis=200),)))
    fleet.leadership.state.tables.vms["vm-2"].draining = True
    await fleet.run_round(fault="delay")
    assert [late.text.split()[0] for late in fleet.network.delayed][:2] == ["poll", "start"]
    worker.restart()
    for _ in range(2):
        await fleet.poll()
    worker.live["other.0.0.0"] = 1
    worker.finish("other.0.0.0", RunOutcome.DONE)
    lease_until_ms, ends = worker.lease_until_ms, list(worker.ends)
    fleet.network.deliver_delayed()
    assert (worker.lease_until_ms, worker.ends, worker.live) == (lease_until_ms, ends, {})


async def test_restarted_vm_gets_tasks_from_its_first_answer_on(fleet):
    """Guards against VMs without tasks for 13 s after a change of leader, for polls that they carry out no more (LOST)."""
    fleet.change_leader()
    await restart_while_polled(fleet, "vm-1")
    leadership = fleet.leadership
    assert find_withheld_vms(fleet.links, state=leadership.state, now=leadership.clock()) == set()
    assert "vm-1" in {vm.vm_id for vm in fleet.dispatcher.list_free_capacity()["vans"]}


async def test_lasting_task_prefers_a_vm_whose_loss_would_leave_it_without_a_run_for_less_than_9_s(fleet):
    """Guards against a wait for the longest lease where another VM has room: 10 s on the pantry (LOST)."""
    for name in ("vm-1", "vm-2"):
        await restart_while_polled(fleet, name)
        fleet.advance(LIMITS.longest_lease_s + 1.0)
        await fleet.poll()
    await restart_while_polled(fleet, "vm-1", boot=3)
    await fleet.leadership.propose(make_workflow("steady", steps=(LASTING,)))
    await fleet.run_round()
    assert "steady.0.0.0" in fleet.workers["vm-2"].live
