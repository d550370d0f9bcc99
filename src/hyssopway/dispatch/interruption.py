"""Decides which long-running tasks may be interrupted now.

Answers the load pattern of VMs that are emptied while tasks of the same step are away for other reasons.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.workflow import TaskId

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.workflow import Tables

# A step without an allowance is still interrupted one task at a time.
DEFAULT_ALLOWANCE = 1


def may_interrupt(*, tables: Tables, task: TaskId, is_at_work: Callable[[str], bool]) -> bool:
    """Tells whether a task of a long-running step may be stopped by the system.

    Args:
        tables: Agreed data.
        task: The task.
        is_at_work: Tells whether the run with a key is listed as at work.
    """
    workflow = tables.workflows[task.workflow]
    step = workflow.spec.steps[task.step]
    allowance = step.disruption_allowance or DEFAULT_ALLOWANCE
    away = 0
    for number in range(step.count):
        other = TaskId(task.workflow, task.occurrence, task.step, number)
        if other == task:
            continue
        runs = tables.runs.get(other.name, [])
        away += not any(is_at_work(run.key) for run in runs)
    return away < allowance


__all__ = ["may_interrupt"]
