"""Counts failures that a VM reports after the lease of the run expired.

A VM that was out of contact reports what ended there once it answers again. Its runs have ended as lapsed by then, and a run
that had failed before has used up one of the attempts of its task.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .run_outcome import RunOutcome
from .state_version import LATE_FAILURES_VERSION
from .task_id import TaskId
from .workflow_end import end_workflow
from .workflow_status import WorkflowStatus

if TYPE_CHECKING:
    from .indexes import Indexes
    from .run_end import RunEnd
    from .tables import Tables
    from .vm_record import VmRecord
    from .workflow import Workflow


def count_failure(tables: Tables, indexes: Indexes, *, workflow: Workflow, task: TaskId, at_ms: int) -> None:
    """Counts a failed run of a task, and fails the workflow when the attempts of the task are used up."""
    progress = workflow.progress[task.occurrence][task.step]
    progress.failures[task.number] += 1
    max_attempts = indexes.max_attempts(workflow)
    if progress.failures[task.number] >= max_attempts and not workflow.status.is_final:
        end_workflow(tables, indexes, workflow, status=WorkflowStatus.FAILED, at_ms=at_ms)


def record_unreported(tables: Tables, *, vm: VmRecord, end: RunEnd) -> None:
    """Remembers a run that was in progress until its lease expired, and forgets those that matter no more."""
    if tables.version < LATE_FAILURES_VERSION or end.outcome is not RunOutcome.LAPSED:
        return
    vm.unreported = {key for key in vm.unreported if _find_open_workflow(tables, key=key) is not None}
    vm.unreported.add(f"{end.task}/{end.run}")


def count_late_failure(tables: Tables, indexes: Indexes, *, vm: VmRecord, end: RunEnd, at_ms: int) -> None:
    """Counts a reported failure of a run whose lease had expired, once; any report settles the run."""
    key = f"{end.task}/{end.run}"
    if key not in vm.unreported:
        return
    vm.unreported.discard(key)
    workflow = _find_open_workflow(tables, key=key)
    if workflow is None or end.outcome is not RunOutcome.FAILED:
        return
    task = TaskId.parse(end.task)
    is_done = workflow.progress[task.occurrence][task.step].done[task.number]
    if not is_done and not workflow.spec.steps[task.step].long_running:
        count_failure(tables, indexes, workflow=workflow, task=task, at_ms=at_ms)


def _find_open_workflow(tables: Tables, *, key: str) -> Workflow | None:
    workflow = tables.workflows.get(key.partition(".")[0])
    return None if workflow is None or workflow.status.is_final else workflow


__all__ = ["count_failure", "count_late_failure", "record_unreported"]
