"""Counts the workflows of a queue of which no task has started yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.workflow import TaskId, WorkflowStatus

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from hyssopway.workflow import ActiveRun, QueueId, Tables, Workflow, WorkflowState

    from .vm_link import VmLink


def count_pending_workflows(queue_id: QueueId, *, state: WorkflowState, links: Mapping[str, VmLink]) -> int:
    """Returns the number of open workflows of a queue without a task that has started on a VM.

    The start of a task is committed before its VM is told, and a VM that does not answer may never get it.

    Args:
        queue_id: ID of the queue.
        state: Replicated state.
        links: Links to VMs by VM ID.
    """
    workflows = (state.tables.workflows[key] for key in state.indexes.open_workflows)
    return sum(
        workflow.queue == queue_id and not _has_begun(workflow, tables=state.tables, links=links)
        for workflow in workflows
    )


def _has_begun(workflow: Workflow, *, tables: Tables, links: Mapping[str, VmLink]) -> bool:
    if workflow.status is WorkflowStatus.QUEUED or workflow.has_begun:
        return workflow.has_begun
    return any(_is_accepted(run, links=links) for run in _iterate_runs(workflow, tables=tables))


def _is_accepted(run: ActiveRun, *, links: Mapping[str, VmLink]) -> bool:
    link = links.get(run.vm)
    order_state = link.orders.order_states.get(run.key) if link is not None else None
    return order_state is not None and order_state.is_accepted


def _iterate_runs(workflow: Workflow, *, tables: Tables) -> Iterator[ActiveRun]:
    """Yields the runs in progress of a workflow."""
    for occurrence, steps in workflow.progress.items():
        for step, progress in enumerate(steps):
            for number, last_run in enumerate(progress.last_run):
                if last_run:
                    task = TaskId(workflow.workflow_id, occurrence, step, number)
                    yield from tables.runs.get(task.name, ())


__all__ = ["count_pending_workflows"]
