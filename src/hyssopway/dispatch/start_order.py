"""Order that starts a committed run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.workflow import TaskId

if TYPE_CHECKING:
    from hyssopway.workflow import ActiveRun, RunStart, Tables, WorkflowState

    from .vm_link import VmLink


def find_run(start: RunStart, *, tables: Tables) -> ActiveRun | None:
    """Returns the run of a start; None if the command no longer allowed the start when it was applied."""
    return next(
        (
            active
            for active in tables.runs.get(start.task, ())
            if active.run == start.run and active.vm == start.vm
        ),
        None,
    )


async def send_start(run: ActiveRun, *, link: VmLink, state: WorkflowState) -> None:
    """Sends the start of a run to its VM, with the checkpoint from which the task continues.

    Args:
        run: Committed run.
        link: Link to its VM.
        state: Replicated state.
    """
    task = TaskId.parse(run.task)
    workflow = state.tables.workflows[task.workflow]
    saved = workflow.progress[task.occurrence][task.step].saved
    checkpoint = saved.get(task.number, "")
    if workflow.spec.steps[task.step].gang:
        checkpoint = next(iter(saved.values()), "")
    queue = state.indexes.queue_of(workflow)
    await link.start(
        run,
        specification=workflow.spec.specification,
        checkpoint=checkpoint,
        needs_ticket=queue is not None and queue.advisor is not None,
    )


__all__ = ["find_run", "send_start"]
