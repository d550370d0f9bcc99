"""Lease that a VM may hold from an earlier leader when the next one has not heard of it."""

from __future__ import annotations

from dispatch.conftest import LIMITS, FakeLeadership, make_link
from hyssopway.dispatch import OrderReply
from hyssopway.dispatch.lease import lease_expiry
from hyssopway.workflow import RunStart, StartRuns

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
