"""Requests the tickets of steps that start soon from advisors, on behalf of one leader."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event
from hyssopway.workflow import TaskId

from .advice_calls import AdviceError
from .advice_plan import AdvisedStep, choose_request, is_almost_ready
from .ordering import service_order_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.clock import Clock
    from hyssopway.workflow import Workflow, WorkflowState

    from .advice_calls import AdviceCalls
    from .advice_plan import AdviceRequest
    from .free_capacity import FreeCapacity
    from .ticket_cache import TicketCache

POLL_INTERVAL_S = 0.05
# Added to the declared decision time of the advisor, for the network and for a slow advisor.
TIMEOUT_MARGIN_S = 1.0
RETRY_S = 0.2
# Prior estimate of the share of approved VMs, and the number of VMs that it weighs as much as.
PRIOR_APPROVAL_RATE = 0.5
PRIOR_VMS = 10.0


class AdviceFetcher:
    """Sends one advice request after another; an advisor handles the requests of one node one at a time anyway.

    Attributes:
        state: Replicated state.
        calls: Client of the advisor.
        tickets: Cache that receives the tickets.
        clock: Monotonic clock in seconds.
        wall_ms: Wall clock in milliseconds, for the service order.
        list_free_capacity: Returns the free capacity of VMs by pool.
        on_tickets: Called after each answer.
        requested_vms: Number of VMs that requests have named.
        approved_vms: Number of these that the advisor approved of.
    """

    __slots__ = (
        "approved_vms",
        "calls",
        "clock",
        "list_free_capacity",
        "on_tickets",
        "requested_vms",
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
        self.requested_vms = 0
        self.approved_vms = 0

    async def run(self) -> None:
        """Sends requests until the task is cancelled."""
        while True:
            if not await self.request_next():
                await asyncio.sleep(POLL_INTERVAL_S)

    async def request_next(self) -> bool:
        """Sends the next request; returns False when there was none to send."""
        steps = self.list_steps()
        if not steps:
            return False
        request = choose_request(
            steps=steps,
            free_by_pool=self.list_free_capacity(),
            boots={vm_id: vm.boot for vm_id, vm in self.state.tables.vms.items()},
            tickets=self.tickets,
            approval_rate=self.approval_rate(),
        )
        if request is None:
            return False
        await self._send(request)
        return True

    def approval_rate(self) -> float:
        """Returns the estimated share of VMs that the advisor approves of."""
        return (self.approved_vms + PRIOR_APPROVAL_RATE * PRIOR_VMS) / (self.requested_vms + PRIOR_VMS)

    def list_steps(self) -> list[AdvisedStep]:
        """Returns the steps that start now or soon and need tickets, in the service order; ready steps come first."""
        queues = {queue_id for queue_id, queue in self.state.indexes.queues.items() if queue.advisor}
        if not queues:
            return []
        found: list[tuple[tuple[float, ...], AdvisedStep]] = []
        for workflow_id in self.state.indexes.open_workflows:
            workflow = self.state.tables.workflows[workflow_id]
            if workflow.queue in queues:
                found += self._list_workflow_steps(workflow)
        self.tickets.keep_steps(advised.name for _, advised in found)
        found.sort(key=lambda pair: pair[0])
        return [advised for _, advised in found]

    def _list_workflow_steps(self, workflow: Workflow) -> list[tuple[tuple[float, ...], AdvisedStep]]:
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
                if not progress.pending or not is_almost_ready(
                    workflow, occurrence=occurrence, number=number
                ):
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

    async def _send(self, request: AdviceRequest) -> None:
        step, policy = request.step.name, request.step.policy
        requested_at = self.clock()
        timeout_s = (policy.decision_ms + policy.per_vm_ms * len(request.vms)) / 1000 + TIMEOUT_MARGIN_S
        try:
            approved = await self.calls.advise(step=step, vms=tuple(request.vms), timeout_s=timeout_s)
        except AdviceError as error:
            log_event(Event.ADVICE_FAILED, step=step, vms=len(request.vms), reason=str(error))
            await asyncio.sleep(RETRY_S)
            return
        self.requested_vms += len(request.vms)
        self.approved_vms += len(approved)
        log_event(Event.ADVICE_TAKEN, step=step, vms=len(request.vms), good=len(approved))
        self.tickets.record_answer(
            step,
            requested=request.vms,
            approved=approved,
            requested_at=requested_at,
            validity_s=policy.validity_ms / 1000,
        )
        self.on_tickets()


__all__ = ["AdviceFetcher"]
