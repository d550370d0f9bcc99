"""Counts the VMs that ended under a task, and fails workflows with a task that crashes its VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .crash_blame import find_causes, must_hold_back
from .crash_count import NO_CRASHES, CrashCount
from .task_id import TaskId
from .workflow_end import end_workflow
from .workflow_status import WorkflowStatus

if TYPE_CHECKING:
    from collections.abc import Collection

    from .indexes import Indexes
    from .step_progress import StepProgress
    from .tables import Tables
    from .vm_record import VmRecord

# A run of a long-running task that has lasted longer did not crash its VM. Longer than the time until the end of a VM
# is noticed.
PROBATION_MS = 10_000


def count_crashes(
    tables: Tables,
    indexes: Indexes,
    *,
    vm: VmRecord,
    started_ms: dict[str, int],
    just_started: Collection[str] = (),
    unconfirmed: Collection[str] = (),
    holds_back: bool = False,
    at_ms: int,
) -> None:
    """Counts the end of a VM's boot for each task that it ran, and fails the workflows of short tasks that caused it.

    Runs whose lease had ended before, while the VM was out of contact, count as well: their VM had crashed.

    Args:
        tables: Replicated data.
        indexes: Indexes over the data.
        vm: VM whose boot has ended.
        started_ms: Wall-clock time of the start of each run that was lost with the VM, by task; 0 if it is unknown.
        just_started: Keys of the runs that the VM had not listed yet.
        unconfirmed: Keys of the runs of which it is not known whether their start had reached the VM.
        holds_back: Whether long-running tasks are held back instead of failing their workflow.
        at_ms: Wall-clock time at which the end was noticed.
    """
    lapsed = {_task_of(key) for key in vm.lapsed}
    unconfirmed_tasks = {_task_of(key) for key in vm.unconfirmed.union(unconfirmed)}
    clear_lapsed(indexes, vm=vm)
    if vm.draining:
        return  # it announced its end
    tasks_at_start = {_task_of(key) for key in just_started}
    counts: dict[str, CrashCount] = {}
    for task in sorted({*started_ms, *lapsed}):
        progress = _find_open_progress(tables, task=task)
        if progress is None:
            continue
        number = TaskId.parse(task).number
        if _has_lasted(tables, task=task, started_ms=started_ms.get(task, 0), at_ms=at_ms):
            progress.crashes.pop(number, None)
            indexes.suspects.discard_task(task)
            continue
        count = progress.crashes.get(number, NO_CRASHES)
        counts[task] = count.plus(
            is_at_start=task in tasks_at_start,
            is_confirmed=task not in unconfirmed_tasks,
            at_ms=at_ms if holds_back else 0,
        )
    causes = [
        task
        for task in find_causes(counts, just_started=tasks_at_start, unconfirmed=unconfirmed_tasks)
        if not (holds_back and _is_long_running(tables, task=task)) or must_hold_back(counts[task])
    ]
    # Once the cause of an end is known, it counts for no other task.
    for task in causes or counts:
        _store_count(tables, indexes, task=task, count=counts[task])
    for task in causes:
        # A long-running task is held back instead: the others of its workflow work on.
        if not (holds_back and _is_long_running(tables, task=task)):
            _fail_workflow(tables, indexes, task=task, at_ms=at_ms)


def record_lapsed(
    tables: Tables,
    indexes: Indexes,
    *,
    vm: VmRecord,
    keys: Collection[str],
    unconfirmed: Collection[str] = (),
    at_ms: int,
) -> None:
    """Remembers runs whose lease ended without contact, until it is known whether their VM crashed."""
    new = {key for key in keys if key in vm.runs}
    for task in sorted(_task_of(key) for key in new):
        started_ms = next(run.started_ms for run in tables.runs[task] if run.vm == vm.vm_id)
        if _has_lasted(tables, task=task, started_ms=started_ms, at_ms=at_ms):
            new = {key for key in new if _task_of(key) != task}
    vm.lapsed |= new
    vm.unconfirmed |= new.intersection(unconfirmed)
    indexes.suspects.add_lapsed(new)


def clear_lapsed(indexes: Indexes, *, vm: VmRecord) -> None:
    """Forgets the runs whose lease ended without contact: their VM was heard of again, or its end was counted."""
    indexes.suspects.discard_lapsed(vm.lapsed)
    vm.lapsed = set()
    vm.unconfirmed = set()


def _find_open_progress(tables: Tables, *, task: str) -> StepProgress | None:
    """Returns the progress of the step of a task; None if the task needs no run any more."""
    task_id = TaskId.parse(task)
    workflow = tables.workflows.get(task_id.workflow)
    if workflow is None or workflow.status.is_final:
        return None
    progress = workflow.progress[task_id.occurrence][task_id.step]
    return None if progress.done[task_id.number] else progress


def _store_count(tables: Tables, indexes: Indexes, *, task: str, count: CrashCount) -> None:
    progress = _find_open_progress(tables, task=task)
    if progress is not None:
        progress.crashes[TaskId.parse(task).number] = count
        indexes.suspects.crashes[task] = count


def _fail_workflow(tables: Tables, indexes: Indexes, *, task: str, at_ms: int) -> None:
    workflow = tables.workflows[TaskId.parse(task).workflow]
    if not workflow.status.is_final:
        end_workflow(tables, indexes, workflow, status=WorkflowStatus.FAILED, at_ms=at_ms)


def _is_long_running(tables: Tables, *, task: str) -> bool:
    """Returns whether a task runs until its workflow is cancelled."""
    task_id = TaskId.parse(task)
    return tables.workflows[task_id.workflow].spec.steps[task_id.step].long_running


def _has_lasted(tables: Tables, *, task: str, started_ms: int, at_ms: int) -> bool:
    """Returns whether a run of a long-running task has worked for longer than its probation."""
    return _is_long_running(tables, task=task) and started_ms > 0 and at_ms - started_ms > PROBATION_MS


def _task_of(key: str) -> str:
    return key.rpartition("/")[0]


__all__ = ["PROBATION_MS", "clear_lapsed", "count_crashes", "record_lapsed"]
