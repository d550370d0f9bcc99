"""VMs that the advisor of a queue has approved for waiting steps."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.workflow import TaskId

if TYPE_CHECKING:
    from hyssopway.workflow import WorkflowState

    from .ready_step import ReadyStep
    from .ticket_cache import TicketCache


def set_approved_vms(ready: list[ReadyStep], *, state: WorkflowState, tickets: TicketCache) -> None:
    """Sets `approved_vms` of each step whose queue has an advisor.

    Args:
        ready: Waiting steps.
        state: Replicated state.
        tickets: Tickets of the advisors.
    """
    for ready_step in ready:
        workflow = ready_step.workflow
        queue = state.indexes.queue_of(workflow)
        if queue is None or queue.advisor is None:
            continue
        name = TaskId(workflow.workflow_id, ready_step.occurrence, ready_step.number, 0).step_name
        ready_step.approved_vms = frozenset(
            vm_id
            for vm_id, vm in state.tables.vms.items()
            if vm.pool == queue.pool and tickets.read(name, vm=vm_id, boot=vm.boot)
        )


__all__ = ["set_approved_vms"]
