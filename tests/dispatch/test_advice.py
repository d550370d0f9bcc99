"""Queues whose steps may run only where an advisor allows it."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from dispatch.conftest import FakeLeadership, FakeVms, make_link
from hyssopway.dispatch import AdviceError, OrderReply, Refusal
from hyssopway.dispatch.advice_fetcher import AdviceFetcher
from hyssopway.dispatch.advice_plan import MAX_VMS_A_QUESTION
from hyssopway.dispatch.dispatcher import Dispatcher
from hyssopway.dispatch.ticket_cache import MARGIN_S
from hyssopway.workflow import AdvisorPolicy, PutDocument, RunEnd, RunOutcome, Step
from hyssopway.workflow.commands import EndRuns
from workflow.conftest import make_document, make_vm, make_workflow

POLICY = AdvisorPolicy(decision_ms=200, per_vm_ms=5, validity_ms=4000)
GOOD = ("vm-2", "vm-3")
CHAIN = (
    Step(count=8, cpu_millis=1000, estimate_ms=500),
    Step(count=2, cpu_millis=1000, estimate_ms=500, after=(0,)),
)


class FakeAdvisor:
    """Approves of some VMs; may be busy, or lose answers.

    Attributes:
        asked: Steps and VMs of the questions.
        failures: Number of questions that fail from now on.
    """

    def __init__(self, leadership):
        self.leadership = leadership
        self.asked = []
        self.failures = 0
        self.in_progress = 0

    async def advise(self, *, step, vms, timeout_s):
        self.asked.append((step, vms))
        self.in_progress += 1
        assert self.in_progress == 1, "an advisor takes one question at a time"
        await asyncio.sleep(0)
        self.in_progress -= 1
        if self.failures:
            self.failures -= 1
            raise AdviceError("answered with 429")
        return {vm: f"ticket of {vm}" for vm in vms if vm in GOOD}


class TicketVms(FakeVms):
    """VMs that start a run only with the ticket that belongs to them."""

    def __init__(self, leadership):
        super().__init__(leadership)
        self.tickets = []
        self.refuse = False

    async def start(self, *, vm, task, run, ticket, timeout_s, **_):
        self.tickets.append((task, vm.vm_id, ticket))
        if self.refuse or ticket != f"ticket of {vm.vm_id}":
            return OrderReply(refusal=Refusal.NO_TICKET)
        return await super().start(vm=vm, task=task, run=run, timeout_s=timeout_s)


class AdvisedFleet:
    """A dispatcher and a fetcher over three VMs and one advised queue."""

    def __init__(self):
        self.leadership = FakeLeadership()
        self.vms = TicketVms(self.leadership)
        self.advisor = FakeAdvisor(self.leadership)
        self.links = {}
        self.dispatcher = Dispatcher(leadership=self.leadership, links=self.links)
        self.fetcher = AdviceFetcher(
            state=self.leadership.state,
            calls=self.advisor,
            tickets=self.dispatcher.tickets,
            clock=self.leadership.clock,
            wall_ms=lambda: 10,
            list_free_capacity=self.dispatcher.list_free_capacity,
            on_tickets=lambda: None,
        )

    async def open(self, *, advisor=POLICY):
        document = make_document()
        queues = tuple(replace(queue, advisor=advisor) for queue in document.queues)
        await self.leadership.propose(PutDocument(document=replace(document, queues=queues)))
        for name in ("vm-1", *GOOD):
            await self.leadership.propose(make_vm(name))
            link = self.links[name] = make_link(name, leadership=self.leadership, calls=self.vms)
            link.orders.tickets = self.dispatcher.tickets
            await link.poll()

    async def round(self):
        """Runs one round and waits for its orders."""
        await self.dispatcher.run_round()
        while self.dispatcher.sending:
            await asyncio.gather(*self.dispatcher.sending)

    def started(self):
        return {task: vm for (task, _), vm in self.vms.running.items()}


@pytest.fixture
async def advised():
    built = AdvisedFleet()
    await built.open()
    return built


async def test_advised_step_waits_for_tickets_and_runs_where_it_may(advised):
    """Guards against starts that are refused for want of a ticket, each of which is paid for."""
    await advised.leadership.propose(make_workflow("w", steps=CHAIN))
    await advised.round()
    assert advised.vms.tickets == []
    while await advised.fetcher.ask_next():
        pass
    await advised.round()
    assert len(advised.started()) == 8
    assert set(advised.started().values()) <= set(GOOD)


async def test_answers_are_kept_until_they_run_out(advised):
    """Guards against questions for what is known, and against tickets used too late."""
    await advised.leadership.propose(make_workflow("w", steps=(Step(count=30, cpu_millis=1000),)))
    while await advised.fetcher.ask_next():
        pass
    asked = len(advised.advisor.asked)
    assert not await advised.fetcher.ask_next()
    advised.leadership.now += POLICY.validity_ms / 1000 - MARGIN_S
    await advised.links["vm-2"].poll()
    await advised.links["vm-1"].poll()
    assert await advised.fetcher.ask_next()
    step, vms = advised.advisor.asked[asked]
    assert step == "w.0.0"
    assert "vm-1" not in vms, "a VM that must not run a step does not change its mind"


async def test_next_step_is_asked_about_when_the_step_before_is_nearly_done(advised):
    """Guards against a step that waits for the advisor's time after all before it is done."""
    await advised.leadership.propose(make_workflow("w", steps=CHAIN))
    while await advised.fetcher.ask_next():
        pass
    assert {step for step, _ in advised.advisor.asked} == {"w.0.0"}
    await advised.round()
    ends = tuple(
        RunEnd(task=task, run=1, outcome=RunOutcome.DONE, checkpoint="")
        for task, vm in advised.started().items()
        if vm == "vm-2"
    )
    ends = (*ends, *(replace(ends[0], task=task) for task, vm in advised.started().items() if vm != "vm-2"))
    for end in ends[:6]:
        vm = advised.started()[end.task]
        await advised.leadership.propose(EndRuns(vm=vm, boot=1, ends=(end,), at_ms=20))
    while await advised.fetcher.ask_next():
        pass
    assert "w.0.1" in {step for step, _ in advised.advisor.asked}


async def test_busy_or_silent_advisor_is_asked_again(advised, monkeypatch):
    """Guards against a step that never starts because one question was lost."""
    monkeypatch.setattr("hyssopway.dispatch.advice_fetcher.RETRY_S", 0.0)
    advised.advisor.failures = 3
    await advised.leadership.propose(make_workflow("w", steps=(Step(count=1, cpu_millis=1000),)))
    while await advised.fetcher.ask_next():
        pass
    await advised.round()
    assert len(advised.started()) == 1


async def test_refused_ticket_is_asked_for_again_and_does_not_count_against_the_vm(advised):
    """Guards against a VM that gets nothing more because a ticket had run out on its way."""
    await advised.leadership.propose(make_workflow("w", steps=(Step(count=1, cpu_millis=1000),)))
    while await advised.fetcher.ask_next():
        pass
    advised.vms.refuse = True
    await advised.round()
    advised.vms.refuse = False
    (_, vm, _) = advised.vms.tickets[0]
    assert advised.links[vm].failures == 0
    assert advised.links[vm].orders.paused_until <= advised.leadership.now
    asked = len(advised.advisor.asked)
    while await advised.fetcher.ask_next():
        pass
    assert len(advised.advisor.asked) > asked
    await advised.round()
    assert len(advised.started()) == 1


async def test_tickets_of_an_earlier_boot_are_not_used(advised):
    """Guards against a start with the ticket of a life that has ended."""
    await advised.leadership.propose(make_workflow("w", steps=(Step(count=1, cpu_millis=1000),)))
    while await advised.fetcher.ask_next():
        pass
    for name in GOOD:
        await advised.leadership.propose(make_vm(name, boot=2))
    await advised.round()
    assert advised.vms.tickets == []


async def test_question_names_no_more_vms_than_are_needed_or_allowed(advised):
    """Guards against questions whose time grows with VMs that the step cannot use."""
    for number in range(4, 300):
        name = f"vm-{number}"
        await advised.leadership.propose(make_vm(name))
        link = advised.links[name] = make_link(name, leadership=advised.leadership, calls=advised.vms)
        await link.poll()
    await advised.leadership.propose(make_workflow("one", steps=(Step(count=1, cpu_millis=1000),)))
    assert await advised.fetcher.ask_next()
    assert len(advised.advisor.asked[0][1]) == 2
    await advised.leadership.propose(make_workflow("wide", steps=(Step(count=900, cpu_millis=8000),)))
    for _ in range(3):
        await advised.fetcher.ask_next()
    assert max(len(vms) for _, vms in advised.advisor.asked) == MAX_VMS_A_QUESTION


async def test_queue_without_advisor_asks_nothing():
    """Guards against work for each round that only advised queues need."""
    fleet = AdvisedFleet()
    await fleet.open(advisor=None)
    await fleet.leadership.propose(make_workflow("w", steps=CHAIN))
    assert not await fleet.fetcher.ask_next()
    await fleet.round()
    assert fleet.advisor.asked == []
    assert len(fleet.vms.tickets) == 8
