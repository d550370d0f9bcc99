"""Lease that a VM may hold from an earlier leader when the next one has not heard of it."""

from __future__ import annotations

from dataclasses import replace

import pytest

from dispatch.conftest import LIMITS, FakeLeadership, make_link
from hyssopway.dispatch import OrderReply
from hyssopway.dispatch.lease import lease_expiry
from hyssopway.dispatch.order_delay import MAX_ORDER_DELAY_S
from hyssopway.workflow import RunStart, StartRuns
from workflow.conftest import make_vm

TASK = "w.0.0.0"


async def test_lease_on_the_clock_of_an_earlier_boot_is_waited_for_by_the_next_leader(fleet, vms):
    """Guards against a second run after a cut: the VM had restarted and started the first on the longest lease (TWICE).

    The VM restarts under its ID and takes a start whose lease ends on the clock of the boot before. Then a cut separates it
    and its leader from the others.
    """
    link = make_link("vm-1", leadership=fleet, calls=vms)
    await link.poll()

    async def start_after_restart(**_):
        vms.boot = 2
        return OrderReply()

    vms.start = start_after_restart
    link.orders.expect_start(task=TASK, run=1)
    await fleet.propose(StartRuns(fencing_token=3, starts=(RunStart(task=TASK, run=1, vm="vm-1"),)))
    await link.start(fleet.state.tables.runs[TASK][0], specification="", checkpoint="")
    granted_at = fleet.now
    vms.silent = True
    successor = FakeLeadership()
    successor.state, successor.term, successor.now = fleet.state, fleet.term + 1, granted_at + 0.5
    successor.started_at = successor.now
    next_link = make_link("vm-1", leadership=successor, calls=vms)
    while successor.now < lease_expiry(granted_at=granted_at, length_s=LIMITS.longest_lease_s):
        await next_link.poll()
        assert TASK in fleet.state.tables.runs, f"ended {successor.now - granted_at:.1f} s after the start"
        successor.now += 0.5


@pytest.mark.parametrize(
    "is_polled_before", [False, True], ids=["before the first poll", "after the first poll"]
)
async def test_boot_change_that_the_next_leader_applies_late_counts_for_the_lease(
    fleet, vms, is_polled_before
):
    """Guards against a second run of a task as the former leader ended right after it had committed a restart (TWICE).

    The next leader has the entry in its log, and applies it when its own term has begun.
    """
    await fleet.propose(StartRuns(fencing_token=2, starts=(RunStart(task=TASK, run=1, vm="vm-1"),)))
    fleet.now += 5.0
    fleet.started_at = fleet.now
    vms.silent = True
    link = make_link("vm-1", leadership=fleet, calls=vms)
    if is_polled_before:
        await link.poll()
    command = make_vm("vm-1", boot=2, sequence=1)
    fleet.apply(replace(command, replaced_boot=1, kept_runs=(f"{TASK}/1",)))
    last_order_at = fleet.started_at + MAX_ORDER_DELAY_S
    while fleet.now < lease_expiry(granted_at=last_order_at, length_s=LIMITS.longest_lease_s):
        await link.poll()
        assert TASK in fleet.state.tables.runs, f"ended {fleet.now - fleet.started_at:.1f} s into the term"
        fleet.now += 0.5
    fleet.now += 0.5
    await link.poll()
    assert TASK not in fleet.state.tables.runs
