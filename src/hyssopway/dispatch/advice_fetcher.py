"""Asks the advisor for the tickets of steps that start soon, on behalf of one leader."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event
from hyssopway.workflow import TaskId

from .advice_calls import AdviceError
from .advice_plan import AdvisedStep, choose_question, is_near
from .ordering import service_order_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.clock import Clock
    from hyssopway.workflow import Workflow, WorkflowState

    from .advice_calls import AdviceCalls
    from .advice_plan import Question
    from .free_capacity import FreeCapacity
    from .ticket_cache import TicketCache

STEP_S = 0.05
# Beside the advisor's own time: the way, and a slow advisor.
MARGIN_S = 1.0
RETRY_S = 0.2
# Share of approved VMs before anything is known, and the questions that it counts for.
FIRST_GOOD_SHARE = 0.5
PRIOR_VMS = 10.0


class AdviceFetcher:
    """One question after another: an advisor takes those of one node in turn anyway.

    Attributes:
        state: Agreed state.
        calls: Client of the advisor.
        tickets: Tickets.
        clock: Monotonic seconds.
        wall_ms: Wall clock, for the order of service.
        list_rooms: Returns the free capacity by pool.
        on_tickets: Called after an answer.
        asked_vms: VMs asked about.
        good_vms: VMs approved of.
    """

    __slots__ = (
        "asked_vms",
        "calls",
        "clock",
        "good_vms",
        "list_free_capacity",
        "on_tickets",
        "state",
        "tickets",
        "wall_ms",
    )

    def __init__(
        self,
        *,
        state: WorkflowState,
        calls: AdviceCalls,
        tickets: TicketCache,
        clock: Clock,
        wall_ms: Callable[[], int],
        list_free_capacity: Callable[[], dict[str, list[FreeCapacity]]],
        on_tickets: Callable[[], None],
    ) -> None:
        self.state = state
        self.calls = calls
        self.tickets = tickets
        self.clock = clock
        self.wall_ms = wall_ms
        self.list_free_capacity = list_free_capacity
        self.on_tickets = on_tickets
        self.asked_vms = 0
        self.good_vms = 0

    async def run(self) -> None:
        """Asks for as long as the task runs."""
        while True:
            if not await self.ask_next():
                await asyncio.sleep(STEP_S)

    async def ask_next(self) -> bool:
        """Asks the next question and tells whether there was one."""
        steps = self.list_steps()
        if not steps:
            return False
        question = choose_question(
            steps=steps,
            rooms=self.list_free_capacity(),
            boots={vm_id: vm.boot for vm_id, vm in self.state.tables.vms.items()},
            tickets=self.tickets,
            good_share=self.good_share(),
        )
        if question is None:
            return False
        await self._ask(question)
        return True

    def good_share(self) -> float:
        """Returns the share of VMs that the advisor approves of."""
        return (self.good_vms + FIRST_GOOD_SHARE * PRIOR_VMS) / (self.asked_vms + PRIOR_VMS)

    def list_steps(self) -> list[AdvisedStep]:
        """Returns the steps that start now or soon and need tickets, in the order of service."""
        queues = {name: queue for name, queue in self.state.indexes.queues.items() if queue.advisor}
        if not queues:
            return []
        found: list[tuple[tuple[float, ...], AdvisedStep]] = []
        for workflow_id in self.state.indexes.open_workflows:
            workflow = self.state.tables.workflows[workflow_id]
            if workflow.queue in queues:
                found += self._list_of(workflow)
        self.tickets.keep_steps(one.name for _, one in found)
        found.sort(key=lambda pair: pair[0])
        return [one for _, one in found]

    def _list_of(self, workflow: Workflow) -> list[tuple[tuple[float, ...], AdvisedStep]]:
        queue = self.state.indexes.queues[workflow.queue]
        policy = queue.advisor
        if policy is None:
            return []
        found = []
        for occurrence, steps in workflow.progress.items():
            order = service_order_key(
                workflow=workflow, occurrence=occurrence, queue=queue, now_ms=self.wall_ms()
            )
            for number, progress in enumerate(steps):
                if not progress.pending or not is_near(workflow, occurrence=occurrence, number=number):
                    continue
                is_ready = workflow.is_step_ready(occurrence=occurrence, step=number)
                advised = AdvisedStep(
                    name=TaskId(workflow.workflow_id, occurrence, number, 0).step_name,
                    step=workflow.spec.steps[number],
                    waiting=len(progress.pending),
                    pool=queue.pool,
                    policy=policy,
                )
                found.append(((float(not is_ready), *order), advised))
        return found

    async def _ask(self, question: Question) -> None:
        step, policy = question.step.name, question.step.policy
        asked_at = self.clock()
        timeout_s = (policy.decision_ms + policy.per_vm_ms * len(question.vms)) / 1000 + MARGIN_S
        try:
            good = await self.calls.advise(step=step, vms=tuple(question.vms), timeout_s=timeout_s)
        except AdviceError as error:
            log_event(Event.ADVICE_FAILED, step=step, vms=len(question.vms), reason=str(error))
            await asyncio.sleep(RETRY_S)
            return
        self.asked_vms += len(question.vms)
        self.good_vms += len(good)
        log_event(Event.ADVICE_TAKEN, step=step, vms=len(question.vms), good=len(good))
        self.tickets.note_answer(
            step,
            asked=question.vms,
            good=good,
            asked_at=asked_at,
            validity_s=policy.validity_ms / 1000,
        )
        self.on_tickets()


__all__ = ["AdviceFetcher"]
