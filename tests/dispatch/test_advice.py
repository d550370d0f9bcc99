"""Queues whose steps may run only on VMs that an advisor approves of."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from dispatch.conftest import FakeLeadership, FakeVms, make_link
from hyssopway.dispatch import AdviceError, OrderReply, Refusal
from hyssopway.dispatch.advice_fetcher import AdviceFetcher
from hyssopway.dispatch.advice_plan import MAX_VMS_PER_REQUEST
from hyssopway.dispatch.dispatcher import Dispatcher
from hyssopway.dispatch.ticket_cache import EXPIRY_MARGIN_S
from hyssopway.workflow import AdvisorPolicy, PutDocument, RunEnd, RunOutcome, Step
from hyssopway.workflow.commands import EndRuns
from workflow.conftest import make_document, make_vm, make_workflow

POLICY = AdvisorPolicy(decision_ms=200, per_vm_ms=5, validity_ms=4000)
APPROVED = ("vm-2", "vm-3")
CHAIN = (
    Step(count=8, cpu_millis=1000, estimate_ms=500),
    Step(count=2, cpu_millis=1000, estimate_ms=500, after=(0,)),
)


class FakeAdvisor:
    """Approves of some VMs; may be busy or fail to answer.

    Attributes:
        requests: Step and VMs of each request.
        failures: Number of requests that fail from now on.
    """

    def __init__(self, leadership):
        self.leadership = leadership
        self.requests = []
        self.failures = 0
        self.in_progress = 0

    async def advise(self, *, step, vms, timeout_s):
        self.requests.append((step, vms))
        self.in_progress += 1
        assert self.in_progress == 1, "an advisor handles one request at a time"
        await asyncio.sleep(0)
        self.in_progress -= 1
        if self.failures:
            self.failures -= 1
            raise AdviceError("answered with 429")
        return {vm: f"ticket of {vm}" for vm in vms if vm in APPROVED}


class TicketVms(FakeVms):
    """VMs that start a run only with a ticket for this VM."""

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
    """A dispatcher and an advice fetcher with three VMs and one queue that has an advisor."""

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
        for name in ("vm-1", *APPROVED):
            await self.leadership.propose(make_vm(name))
            link = self.links[name] = make_link(name, leadership=self.leadership, calls=self.vms)
            link.orders.tickets = self.dispatcher.tickets
            await link.poll()

    async def run_round(self):
        """Runs one scheduling round and waits for its start orders."""
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


async def test_advised_step_starts_only_with_tickets_on_approved_vms(advised):
    """Guards against starts without a ticket, which the VM refuses; each refused start is charged."""
    await advised.leadership.propose(make_workflow("w", steps=CHAIN))
    await advised.run_round()
    assert advised.vms.tickets == []
    while await advised.fetcher.request_next():
        pass
    await advised.run_round()
    assert len(advised.started()) == 8
    assert set(advised.started().values()) <= set(APPROVED)


async def test_answers_are_cached_until_they_expire(advised):
    """Guards against requests for known answers, and against the use of expired tickets."""
    await advised.leadership.propose(make_workflow("w", steps=(Step(count=30, cpu_millis=1000),)))
    while await advised.fetcher.request_next():
        pass
    request_count = len(advised.advisor.requests)
    assert not await advised.fetcher.request_next()
    advised.leadership.now += POLICY.validity_ms / 1000 - EXPIRY_MARGIN_S
    await advised.links["vm-2"].poll()
    await advised.links["vm-1"].poll()
    assert await advised.fetcher.request_next()
    step, vms = advised.advisor.requests[request_count]
    assert step == "w.0.0"
    assert "vm-1" not in vms, "a refusal holds for the whole boot"


async def test_tickets_are_requested_when_the_step_before_is_nearly_done(advised):
    """Guards against a ready step that still waits for the advisor after the step before it is done."""
    await advised.leadership.propose(make_workflow("w", steps=CHAIN))
    while await advised.fetcher.request_next():
        pass
    assert {step for step, _ in advised.advisor.requests} == {"w.0.0"}
    await advised.run_round()
    ends = tuple(
        RunEnd(task=task, run=1, outcome=RunOutcome.DONE, checkpoint="")
        for task, vm in advised.started().items()
        if vm == "vm-2"
    )
    ends = (*ends, *(replace(ends[0], task=task) for task, vm in advised.started().items() if vm != "vm-2"))
    for end in ends[:6]:
        vm = advised.started()[end.task]
        await advised.leadership.propose(EndRuns(vm=vm, boot=1, ends=(end,), at_ms=20))
    while await advised.fetcher.request_next():
        pass
    assert "w.0.1" in {step for step, _ in advised.advisor.requests}


async def test_request_to_a_busy_advisor_is_repeated(advised, monkeypatch):
    """Guards against a step that never starts because one request failed."""
    monkeypatch.setattr("hyssopway.dispatch.advice_fetcher.RETRY_S", 0.0)
    advised.advisor.failures = 3
    await advised.leadership.propose(make_workflow("w", steps=(Step(count=1, cpu_millis=1000),)))
    while await advised.fetcher.request_next():
        pass
    await advised.run_round()
    assert len(advised.started()) == 1


async def test_refused_ticket_is_requested_again_and_is_no_failure_of_the_vm(advised):
    """Guards against a VM that gets no more starts because a ticket expired on its way."""
    await advised.leadership.propose(make_workflow("w", steps=(Step(count=1, cpu_millis=1000),)))
    while await advised.fetcher.request_next():
        pass
    advised.vms.refuse = True
    await advised.run_round()
    advised.vms.refuse = False
    (_, vm, _) = advised.vms.tickets[0]
    assert advised.links[vm].failures == 0
    assert advised.links[vm].orders.paused_until <= advised.leadership.now
    request_count = len(advised.advisor.requests)
    while await advised.fetcher.request_next():
        pass
    assert len(advised.advisor.requests) > request_count
    await advised.run_round()
    assert len(advised.started()) == 1


async def test_tickets_of_an_earlier_boot_are_not_used(advised):
    """Guards against a start with a ticket that was issued for a former boot of the VM."""
    await advised.leadership.propose(make_workflow("w", steps=(Step(count=1, cpu_millis=1000),)))
    while await advised.fetcher.request_next():
        pass
    for name in APPROVED:
        await advised.leadership.propose(make_vm(name, boot=2))
    await advised.run_round()
    assert advised.vms.tickets == []


async def test_request_names_no_more_vms_than_needed_or_allowed(advised):
    """Guards against requests that take longer because they name VMs that the step does not need."""
    for number in range(4, 300):
        name = f"vm-{number}"
        await advised.leadership.propose(make_vm(name))
        link = advised.links[name] = make_link(name, leadership=advised.leadership, calls=advised.vms)
        await link.poll()
    await advised.leadership.propose(make_workflow("one", steps=(Step(count=1, cpu_millis=1000),)))
    assert await advised.fetcher.request_next()
    assert len(advised.advisor.requests[0][1]) == 2
    await advised.leadership.propose(make_workflow("wide", steps=(Step(count=900, cpu_millis=8000),)))
    for _ in range(3):
        await advised.fetcher.request_next()
    assert max(len(vms) for _, vms in advised.advisor.requests) == MAX_VMS_PER_REQUEST


async def test_queue_without_advisor_sends_no_requests():
    """Guards against advice work in each round for queues without an advisor."""
    fleet = AdvisedFleet()
    await fleet.open(advisor=None)
    await fleet.leadership.propose(make_workflow("w", steps=CHAIN))
    assert not await fleet.fetcher.request_next()
    await fleet.run_round()
    assert fleet.advisor.requests == []
    assert len(fleet.vms.tickets) == 8
