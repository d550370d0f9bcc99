"""Ends a workflow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .task_id import TaskId

if TYPE_CHECKING:
    from .indexes import Indexes
    from .tables import Tables
    from .workflow import Workflow
    from .workflow_status import WorkflowStatus


def end_workflow(
    tables: Tables, indexes: Indexes, workflow: Workflow, *, status: WorkflowStatus, at_ms: int
) -> None:
    """Ends a workflow: no run of it starts any more, and its runs in progress are to be stopped."""
    workflow.status = status
    workflow.ended_ms = at_ms
    indexes.open_workflows.pop(workflow.workflow_id, None)
    for occurrence, steps in workflow.progress.items():
        for step, progress in enumerate(steps):
            for index in range(len(progress.done)):
                task = TaskId(workflow.workflow_id, occurrence, step, index).name
                indexes.suspects.discard_task(task)
                mark_runs_to_stop(tables, indexes, task=task)


def mark_runs_to_stop(tables: Tables, indexes: Indexes, *, task: str) -> None:
    """Marks the runs in progress of a task that needs none any more."""
    for run in tables.runs.get(task, ()):
        indexes.runs_to_stop[run.key] = run.vm


__all__ = ["end_workflow", "mark_runs_to_stop"]
