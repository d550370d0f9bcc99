"""VMs that get no tasks because a late poll for the boot before may make them forget the ends of their runs.

The tokens of calls tell boots apart from `BOOT_FENCES_VERSION` on, see test_boot_fence.py. Before it, this leader's polls for
the boot before have the same token as those for the next one.
"""

from __future__ import annotations

import pytest

from dispatch.conftest import FakeLeadership, make_link
from hyssopway.dispatch.listed_end import ListedEnd
from hyssopway.dispatch.order_delay import MAX_ORDER_DELAY_S
from hyssopway.dispatch.withheld_vms import find_withheld_vms
from hyssopway.workflow import BOOT_FENCES_VERSION, RunEnd, RunOutcome, Step
from workflow.conftest import make_vm, make_workflow

BEFORE = BOOT_FENCES_VERSION - 1
VMS = ("vm-1", "vm-2", "vm-3", "vm-4")


@pytest.fixture
def leadership():
    return FakeLeadership(version=BEFORE)


@pytest.fixture
async def links(fleet, vms):
    for name in VMS[1:]:
        await fleet.propose(make_vm(name))
    built = {name: make_link(name, leadership=fleet, calls=vms) for name in VMS}
    await poll(built)
    return built


async def poll(links):
    for link in links.values():
        await link.poll()


async def restart_with_late_acknowledgement(link, vms):
    """The VM lists an end, the poll that acknowledges it gets no answer, and the next boot announces itself."""
    end = RunEnd(task="gone.0.0.0", run=1, outcome=RunOutcome.DONE)
    vms.ends = [ListedEnd(1, end)]
    await link.poll()
    vms.lose = 1
    await link.poll()
    vms.ends, vms.boot = [], 2
    await link.poll()
    await link.poll()
    vms.boot = 1


def list_withheld(links):
    leadership = links["vm-1"].leadership
    return find_withheld_vms(links, state=leadership.state, now=leadership.clock())


async def test_vm_that_may_forget_ends_gets_no_tasks_until_the_late_poll_has_expired(links, vms):
    """Guards against a task that runs again after it is done, as its VM forgot the end by a late poll (TWICE)."""
    await restart_with_late_acknowledgement(links["vm-1"], vms)
    assert list_withheld(links) == {"vm-1"}
    links["vm-1"].leadership.now += MAX_ORDER_DELAY_S + 0.1
    for link in links.values():
        link.answered_at = link.leadership.now
    assert list_withheld(links) == set()


async def test_pool_of_which_most_vms_have_restarted_still_gets_tasks(links, vms):
    """Guards against tasks that wait 13 s after a restart of all VMs of their pool (LOST)."""
    for name in VMS[:3]:
        await restart_with_late_acknowledgement(links[name], vms)
    assert list_withheld(links) == set()


async def test_label_of_which_all_vms_have_restarted_still_gets_tasks(links, vms, fleet):
    """Guards against tasks that wait 13 s after a restart of all VMs with the label that their step needs (LOST)."""
    for name in VMS[:2]:
        await restart_with_late_acknowledgement(links[name], vms)
        await fleet.propose(make_vm(name, boot=2, labels=("b", "r1"), sequence=1))
    assert list_withheld(links) == set(VMS[:2])
    await fleet.propose(make_workflow("labelled", steps=(Step(count=1, label="b"),)))
    assert list_withheld(links) == set()


async def test_vm_that_restarts_in_a_long_term_gets_tasks_at_once(links, vms):
    """Guards against withholding each VM that restarts, although no acknowledgement was on its way."""
    links["vm-1"].leadership.started_at -= MAX_ORDER_DELAY_S + 1.0
    vms.boot = 2
    await links["vm-1"].poll()
    await links["vm-1"].poll()
    assert list_withheld(links) == set()


async def test_acknowledgements_of_a_former_leader_are_expected(links, vms, fleet):
    """Guards against the same after a change of leader: what the former one has sent is not known (TWICE)."""
    successor = FakeLeadership()
    successor.state, successor.term = fleet.state, fleet.term + 1
    successor.now = successor.started_at = fleet.now + 1.0
    next_links = {name: make_link(name, leadership=successor, calls=vms) for name in VMS}
    await poll(next_links)
    vms.boot = 2
    await next_links["vm-1"].poll()
    vms.boot = 1
    await poll({name: next_links[name] for name in VMS[1:]})
    vms.boot = 2
    await next_links["vm-1"].poll()
    assert list_withheld(next_links) == {"vm-1"}


async def test_poll_that_acknowledges_ends_is_answered_at_once(links, vms):
    """Guards against a poll that waits at a VM as it crashes, and acknowledges ends of its next boot."""
    waits = []
    answer = vms.poll

    async def record_and_answer(*, last_end, wait_ms, **arguments):
        waits.append((last_end, wait_ms))
        return await answer(last_end=last_end, wait_ms=wait_ms, **arguments)

    vms.ends = [ListedEnd(1, RunEnd(task="gone.0.0.0", run=1, outcome=RunOutcome.DONE))]
    await links["vm-1"].poll()
    vms.poll = record_and_answer
    for _ in range(3):
        await links["vm-1"].poll()
    assert waits[0] == (1, 0)
    assert [last_end for last_end, _ in waits[1:]] == [0, 0]
    assert all(wait_ms > 0 for _, wait_ms in waits[1:])
