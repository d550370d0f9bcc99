"""Finds the tasks that may start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.workflow import TaskId

from .ordering import order_occurrence
from .ready_step import ReadyStep

if TYPE_CHECKING:
    from hyssopway.workflow import Indexes, Tables, Workflow


# A schedule whose begin lies far back must not hold up everything else.
MAX_DUE_A_ROUND = 50


def find_ready_steps(*, tables: Tables, indexes: Indexes, now_ms: float) -> list[ReadyStep]:
    """Returns all steps with waiting tasks, in the order in which they are served."""
    found: list[ReadyStep] = []
    for workflow_id in indexes.open_workflows:
        workflow = tables.workflows[workflow_id]
        for occurrence, steps in workflow.progress.items():
            waiting = [
                number
                for number, progress in enumerate(steps)
                if progress.pending and workflow.is_step_ready(occurrence=occurrence, step=number)
            ]
            if not waiting:
                continue
            queue = indexes.queues.get(workflow.queue)
            order = order_occurrence(workflow=workflow, occurrence=occurrence, queue=queue, now_ms=now_ms)
            found += [
                _describe(tables, workflow=workflow, occurrence=occurrence, number=number, order=order)
                for number in waiting
            ]
    found.sort(key=lambda ready: ready.order)
    return found


def find_due_occurrences(
    *, tables: Tables, indexes: Indexes, now_ms: float
) -> tuple[list[tuple[str, int]], float]:
    """Returns scheduled occurrences that are due, and when the next one is."""
    due: list[tuple[str, int]] = []
    next_ms = float("inf")
    for workflow_id in indexes.open_workflows:
        workflow = tables.workflows[workflow_id]
        if not workflow.spec.repeat_count:
            continue
        for occurrence in range(len(workflow.progress), workflow.spec.repeat_count):
            at_ms = workflow.spec.due_ms(occurrence)
            if at_ms > now_ms:
                next_ms = min(next_ms, at_ms)
                break
            due.append((workflow_id, occurrence))
            if len(due) >= MAX_DUE_A_ROUND:
                return due, now_ms
    return due, next_ms


def _describe(
    tables: Tables, *, workflow: Workflow, occurrence: int, number: int, order: tuple[float, ...]
) -> ReadyStep:
    step = workflow.spec.steps[number]
    progress = workflow.progress[occurrence][number]
    placed: dict[str, int] = {}
    if (step.spread_limit or step.long_running) and len(progress.pending) < step.count:
        for index in range(step.count):
            task = TaskId(workflow.workflow_id, occurrence, number, index).name
            for run in tables.runs.get(task, ()):
                placed[run.vm] = placed.get(run.vm, 0) + 1
    return ReadyStep(
        workflow=workflow,
        occurrence=occurrence,
        number=number,
        step=step,
        indexes=sorted(progress.pending),
        order=order,
        placed=placed,
    )


__all__ = ["find_due_occurrences", "find_ready_steps"]
