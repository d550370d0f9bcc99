"""Finds the steps and scheduled occurrences that are ready to start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .ordering import service_order_key
from .ready_step import ReadyStep

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hyssopway.scheduling.copies import StepKey
    from hyssopway.workflow import Indexes, Tables, Workflow

    from .placed_runs import PlacedRuns

# Bounds the catch-up work of one round, so that a schedule that starts far in the past does not delay other workflows.
MAX_DUE_PER_ROUND = 50


def find_ready_steps(
    *, tables: Tables, indexes: Indexes, placed_runs: PlacedRuns, now_ms: float
) -> list[ReadyStep]:
    """Returns all ready steps with waiting tasks, in the order of service.

    Args:
        tables: Replicated data.
        indexes: Indexes over the data.
        placed_runs: Runs of steps by VM in this round.
        now_ms: Wall-clock time in milliseconds.
    """
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
            queue = indexes.queue_of(workflow)
            order = service_order_key(workflow=workflow, occurrence=occurrence, queue=queue, now_ms=now_ms)
            found += [
                _make_ready_step(
                    workflow, occurrence=occurrence, number=number, order=order, placed_runs=placed_runs
                )
                for number in waiting
            ]
    found.sort(key=lambda ready_step: ready_step.order)
    return found


def add_copies(
    ready: list[ReadyStep],
    *,
    copies: Mapping[StepKey, Mapping[int, frozenset[str]]],
    tables: Tables,
    indexes: Indexes,
    placed_runs: PlacedRuns,
    now_ms: float,
) -> list[ReadyStep]:
    """Adds tasks that get a copy to the ready steps, in the order of their steps.

    Args:
        ready: Ready steps in the order of service; steps that are in the list get the copies as further tasks.
        copies: Tasks to copy by step, with the IDs of the VMs that may not get the copy.
        tables: Replicated data.
        indexes: Indexes over the data.
        placed_runs: Runs of steps by VM in this round.
        now_ms: Wall-clock time in milliseconds.
    """
    by_key = {(step.workflow.workflow_id, step.occurrence, step.number): step for step in ready}
    for key, excluded_vms in copies.items():
        step = by_key.get(key)
        if step is None:
            workflow = tables.workflows[key.workflow]
            queue = indexes.queue_of(workflow)
            order = service_order_key(
                workflow=workflow, occurrence=key.occurrence, queue=queue, now_ms=now_ms
            )
            step = _make_ready_step(
                workflow,
                occurrence=key.occurrence,
                number=key.step,
                order=order,
                placed_runs=placed_runs,
            )
            # Its waiting tasks are in the list of an earlier placement of this round, or were placed by it.
            step.indexes = []
            ready.append(step)
        step.indexes += sorted(excluded_vms)
        step.excluded_vms.update(excluded_vms)
    ready.sort(key=lambda ready_step: ready_step.order)
    return ready


def find_due_occurrences(
    *, tables: Tables, indexes: Indexes, now_ms: float
) -> tuple[list[tuple[str, int]], float]:
    """Finds scheduled occurrences that are due, at most `MAX_DUE_PER_ROUND`.

    Returns:
        Workflow IDs and numbers of the due occurrences, and the wall-clock time in milliseconds at which the next
        one is due; infinity when there is none.
    """
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
            if len(due) >= MAX_DUE_PER_ROUND:
                return due, now_ms
    return due, next_ms


def _make_ready_step(
    workflow: Workflow,
    *,
    occurrence: int,
    number: int,
    order: tuple[float, ...],
    placed_runs: PlacedRuns,
) -> ReadyStep:
    return ReadyStep(
        workflow=workflow,
        occurrence=occurrence,
        number=number,
        step=workflow.spec.steps[number],
        indexes=sorted(workflow.progress[occurrence][number].pending),
        order=order,
        placed=placed_runs.of_step(workflow, occurrence=occurrence, number=number),
    )


__all__ = ["add_copies", "find_due_occurrences", "find_ready_steps"]
