"""Placement on VMs that have restarted under their ID: their kind and pool may be others than before."""

from __future__ import annotations

import asyncio

import pytest

from dispatch.conftest import LIMITS, FakeVms, make_link
from hyssopway.dispatch import OrderReply, WorkerUnreachableError
from hyssopway.dispatch.dispatcher import Dispatcher
from hyssopway.dispatch.leader_controller import LeaderController
from hyssopway.workflow import PutDocument, RegisterVm, Step
from workflow.conftest import make_document, make_vm, make_workflow

TASK = "small.0.0.0"


class Fleet:
    """A leader with one VM.

    Attributes:
        leadership: Term of the leader.
        vms: Fake VM.
        link: Link to the VM.
        dispatcher: Dispatcher of the leader.
    """

    def __init__(self, leadership):
        self.leadership = leadership
        self.vms = FakeVms(leadership)
        self.link = make_link("vm-1", leadership=leadership, calls=self.vms)
        self.dispatcher = Dispatcher(leadership=leadership, links={"vm-1": self.link})

    async def place(self):
        """Runs a round and returns whether the task was started."""
        await self.dispatcher.run_round()
        return TASK in self.leadership.state.tables.runs


@pytest.fixture
async def small_fleet(leadership):
    leadership.begin_long_ago()
    await leadership.propose(PutDocument(document=make_document()))
    await leadership.propose(make_vm("vm-1", labels=("a", "r1")))
    fleet = Fleet(leadership)
    await fleet.link.poll()
    return fleet


async def test_boot_that_has_not_announced_itself_gets_no_task_by_the_labels_of_the_one_before(small_fleet):
    """Guards against a task without resources on a VM whose next boot is of another kind or in another pool (ROUTE)."""
    small_fleet.vms.boot = 2
    await small_fleet.link.poll()
    await small_fleet.link.poll()
    step = Step(count=1, label="a")
    await small_fleet.leadership.propose(make_workflow("small", steps=(step,)))
    assert not await small_fleet.place()
    await small_fleet.leadership.propose(make_vm("vm-1", boot=2, labels=("a", "r1"), sequence=1))
    assert await small_fleet.place()


async def test_late_answer_of_the_boot_before_does_not_open_an_announced_boot(small_fleet):
    """Guards against starts on a boot that has not answered yet, after an answer that its VM gave before it restarted."""
    link, poll = small_fleet.link, small_fleet.vms.poll

    async def answer_after_announcement(**arguments):
        reply = await poll(**arguments)
        await link.boots.replace(make_vm("vm-1", boot=2, sequence=1), replaced_boot=1)
        return reply

    small_fleet.vms.poll = answer_after_announcement
    await link.poll()
    await small_fleet.leadership.propose(make_workflow("small", steps=(Step(count=1, label="a"),)))
    assert not link.in_contact(small_fleet.leadership.now)
    assert link.lease.clock_ms is None
    assert not await small_fleet.place()
    small_fleet.vms.poll, small_fleet.vms.boot = poll, 2
    await link.poll()
    assert await small_fleet.place()


async def test_vm_gets_no_task_once_a_later_boot_of_it_was_announced(small_fleet):
    """Guards against starts that are meant for a boot of which the leader knows that it may be gone (ROUTE)."""
    controller = LeaderController(
        leadership=small_fleet.leadership, calls=small_fleet.vms, machines=None, advisor=None, limits=LIMITS
    )
    controller.links["vm-1"] = small_fleet.link
    small_fleet.leadership.now += 0.1
    await controller.handle_announcement(make_vm("vm-1", boot=2, labels=("b", "r1"), sequence=1))
    await small_fleet.leadership.propose(make_workflow("small", steps=(Step(count=1, label="a"),)))
    assert not await small_fleet.place()
    small_fleet.leadership.now += 0.1
    await small_fleet.link.poll()  # another writer announced it: the boot before still answers
    assert await small_fleet.place()


async def test_vm_gets_no_task_while_its_connections_break(small_fleet):
    """Guards against starts that are meant for a boot whose connections ended, and reach another one (ROUTE)."""
    small_fleet.link.orders.record_loss(WorkerUnreachableError("reset", is_broken=True))
    await small_fleet.leadership.propose(make_workflow("small", steps=(Step(count=1, label="a"),)))
    assert not await small_fleet.place()
    await small_fleet.link.poll()
    assert await small_fleet.place()


async def test_vm_whose_answer_has_the_clock_of_another_boot_gets_no_task(small_fleet):
    """Guards against starts on a boot, perhaps of another kind, that has shown only in the answer to an order (ROUTE)."""
    small_fleet.link.orders.record_listed([f"{TASK}/9"], now=small_fleet.leadership.now)

    async def answer_from_next_boot(**_):
        return OrderReply(clock_ms=5)

    small_fleet.vms.stop = answer_from_next_boot
    small_fleet.link.orders.request_stop(task=TASK, run=9, reason="test")
    await asyncio.gather(*small_fleet.link.orders.sending)
    await small_fleet.leadership.propose(make_workflow("small", steps=(Step(count=1, label="a"),)))
    assert not await small_fleet.place()
    await small_fleet.link.poll()
    assert await small_fleet.place()


async def test_late_answer_of_the_boot_before_does_not_hide_that_another_one_has_answered(small_fleet):
    """Guards against starts on an unknown boot (ROUTE) after an answer to a poll that the boot before it gave."""
    link, poll = small_fleet.link, small_fleet.vms.poll

    async def answer_from_next_boot(**_):
        return OrderReply(clock_ms=5)

    async def answer_after_stop(**arguments):
        small_fleet.vms.poll = poll
        reply = await poll(**arguments)
        small_fleet.leadership.now += 0.1
        link.orders.request_stop(task=TASK, run=9, reason="test")
        await asyncio.gather(*link.orders.sending)
        return reply

    small_fleet.vms.stop, small_fleet.vms.poll = answer_from_next_boot, answer_after_stop
    await link.poll()
    await small_fleet.leadership.propose(make_workflow("small", steps=(Step(count=1, label="a"),)))
    assert not await small_fleet.place()
    await link.poll()
    assert await small_fleet.place()


async def test_start_is_not_repeated_while_the_next_boot_is_being_committed(small_fleet, monkeypatch):
    """Guards against a copy of a start to a boot, perhaps of another kind, that the leader has already heard of (ROUTE)."""
    leadership, vms, link = small_fleet.leadership, small_fleet.vms, small_fleet.link
    propose, may_commit = leadership.propose, asyncio.Event()
    boots, polls = [], []

    async def commit_boot_late(command):
        if isinstance(command, RegisterVm):
            await may_commit.wait()
        await propose(command)

    async def lose_with_a_restart(**_):
        boots.append(vms.boot)
        vms.boot = 2
        polls.append(asyncio.create_task(link.poll()))
        for _ in range(5):
            await asyncio.sleep(0)
        assert not link.has_acked_term
        raise WorkerUnreachableError("no answer")

    monkeypatch.setattr(leadership, "propose", commit_boot_late)
    monkeypatch.setattr(vms, "start", lose_with_a_restart)
    await leadership.propose(make_workflow("small", steps=(Step(count=1, label="a"),)))
    assert await small_fleet.place()
    await asyncio.gather(*small_fleet.dispatcher.sending)
    may_commit.set()
    await asyncio.gather(*polls)
    assert boots == [1]
