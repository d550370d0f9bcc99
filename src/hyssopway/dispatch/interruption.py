"""Decides whether a long-running task may be interrupted without exceeding its step's disruption allowance.

Tasks of the same step may already be down for other reasons when a VM is drained.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.workflow import TaskId

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.workflow import Tables

# Steps that set no allowance may have one task at a time interrupted; an allowance of 0 forbids all interruptions.
DEFAULT_ALLOWANCE = 1


def may_interrupt(*, tables: Tables, task: TaskId, is_working: Callable[[str], bool]) -> bool:
    """Returns whether the system may stop a task of a long-running step now.

    Args:
        tables: Tables of the replicated state.
        task: ID of the task.
        is_working: Returns whether the run with the given key is listed as working.
    """
    workflow = tables.workflows[task.workflow]
    step = workflow.spec.steps[task.step]
    allowance = step.disruption_allowance
    if allowance is None:
        allowance = DEFAULT_ALLOWANCE
    unavailable = 0
    for number in range(step.count):
        other = TaskId(task.workflow, task.occurrence, task.step, number)
        if other == task:
            continue
        runs = tables.runs.get(other.name, [])
        unavailable += not any(is_working(run.key) for run in runs)
    return unavailable < allowance


__all__ = ["may_interrupt"]
