"""Rule for a second run (a copy) of a task that has a run in progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .crash_blame import CONCLUSIVE_CRASHES
from .crash_count import NO_CRASHES

if TYPE_CHECKING:
    from .indexes import Indexes
    from .tables import Tables
    from .task_id import TaskId
    from .workflow import Workflow

# One copy besides the first run.
MAX_RUNS_PER_TASK = 2


def may_start_copy(tables: Tables, indexes: Indexes, *, workflow: Workflow, task: TaskId) -> bool:
    """Returns whether a task with runs in progress may have one more.

    Each run in progress may have failed without being reported, so the task needs an attempt for each of them besides
    the one for the copy. Their VMs may also have crashed under the task, so each counts as a crash. A task whose VM ended right after its start gets no copy.
    """
    runs = tables.runs.get(task.name, ())
    failures = workflow.progress[task.occurrence][task.step].failures[task.number]
    return (
        workflow.spec.steps[task.step].duplicates
        and len(runs) < MAX_RUNS_PER_TASK
        and not indexes.suspects.crashes.get(task.name, NO_CRASHES).at_start
        and indexes.suspects.level(task.name) + len(runs) < CONCLUSIVE_CRASHES
        and failures + len(runs) < indexes.max_attempts(workflow)
    )


__all__ = ["MAX_RUNS_PER_TASK", "may_start_copy"]
