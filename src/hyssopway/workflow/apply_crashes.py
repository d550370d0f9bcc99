"""Counts the VMs that ended under a task, and fails workflows with a task that probably crashes its VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .task_id import TaskId
from .workflow_end import end_workflow
from .workflow_status import WorkflowStatus

if TYPE_CHECKING:
    from collections.abc import Collection

    from .indexes import Indexes
    from .tables import Tables
    from .vm_record import VmRecord

# A workflow fails when this many VM boots have ended under one of its tasks and no other suspect was lost with the last.
CONCLUSIVE_CRASHES = 3
# A workflow fails when this many VM boots have ended under one of its tasks.
MAX_CRASHES = 4
# A task under which this many VM boots have ended is suspected of having caused the next one.
SUSPICIOUS_CRASHES = 2
# A run of a long-running task that has lasted longer did not crash its VM. Longer than the time until the end of a VM
# is noticed.
PROBATION_MS = 10_000


def count_crashes(
    tables: Tables, indexes: Indexes, *, vm: VmRecord, started_ms: dict[str, int], at_ms: int
) -> None:
    """Counts the end of a VM's boot for each task that it ran, and fails the workflows of tasks that caused it.

    Runs whose lease had ended before, while the VM was out of contact, count as well: their VM had crashed.

    Args:
        tables: Replicated data.
        indexes: Indexes over the data.
        vm: VM whose boot has ended.
        started_ms: Wall-clock time of the start of each run that was lost with the VM, by task; 0 if it is unknown.
        at_ms: Wall-clock time at which the end was noticed.
    """
    lapsed = {key.rpartition("/")[0] for key in vm.lapsed}
    clear_lapsed(indexes, vm=vm)
    if vm.draining:
        return  # it announced its end
    crashes: dict[str, int] = {}
    for task in sorted({*started_ms, *lapsed}):
        crashes[task] = _count_crash(
            tables, indexes, task=task, started_ms=started_ms.get(task, 0), at_ms=at_ms
        )
    for task in crashes:
        if _is_conclusive(task, crashes=crashes):
            _fail_workflow(tables, indexes, task=task, at_ms=at_ms)


def record_lapsed(
    tables: Tables, indexes: Indexes, *, vm: VmRecord, keys: Collection[str], at_ms: int
) -> None:
    """Remembers runs whose lease ended without contact, until it is known whether their VM crashed."""
    new = {key for key in keys if key in vm.runs and not _has_lasted(tables, key=key, at_ms=at_ms)}
    vm.lapsed |= new
    indexes.suspects.add_lapsed(new)


def clear_lapsed(indexes: Indexes, *, vm: VmRecord) -> None:
    """Forgets the runs whose lease ended without contact: their VM was heard of again, or its end was counted."""
    indexes.suspects.discard_lapsed(vm.lapsed)
    vm.lapsed = set()


def _count_crash(tables: Tables, indexes: Indexes, *, task: str, started_ms: int, at_ms: int) -> int:
    """Returns how many VM boots have ended under a task; 0 if the task is not suspect."""
    task_id = TaskId.parse(task)
    workflow = tables.workflows.get(task_id.workflow)
    if workflow is None or workflow.status.is_final:
        return 0
    progress = workflow.progress[task_id.occurrence][task_id.step]
    if progress.done[task_id.number]:
        return 0
    step = workflow.spec.steps[task_id.step]
    if step.long_running and started_ms and at_ms - started_ms > PROBATION_MS:
        progress.crashes.pop(task_id.number, None)
        indexes.suspects.discard_task(task)
        return 0
    crashes = progress.crashes.get(task_id.number, 0) + 1
    progress.crashes[task_id.number] = crashes
    indexes.suspects.crashes[task] = crashes
    return crashes


def _is_conclusive(task: str, *, crashes: dict[str, int]) -> bool:
    """Returns whether a task causes the ends of its VMs, given the counts of all tasks that were lost with the last."""
    if crashes[task] >= MAX_CRASHES:
        return True
    if crashes[task] < CONCLUSIVE_CRASHES:
        return False
    workflow = TaskId.parse(task).workflow
    return all(
        count < SUSPICIOUS_CRASHES
        for other, count in crashes.items()
        if TaskId.parse(other).workflow != workflow
    )


def _fail_workflow(tables: Tables, indexes: Indexes, *, task: str, at_ms: int) -> None:
    workflow = tables.workflows[TaskId.parse(task).workflow]
    if not workflow.status.is_final:
        end_workflow(tables, indexes, workflow, status=WorkflowStatus.FAILED, at_ms=at_ms)


def _has_lasted(tables: Tables, *, key: str, at_ms: int) -> bool:
    task = TaskId.parse(key.rpartition("/")[0])
    step = tables.workflows[task.workflow].spec.steps[task.step]
    run = next(run for run in tables.runs[task.name] if run.key == key)
    return step.long_running and run.started_ms > 0 and at_ms - run.started_ms > PROBATION_MS


__all__ = [
    "CONCLUSIVE_CRASHES",
    "MAX_CRASHES",
    "PROBATION_MS",
    "SUSPICIOUS_CRASHES",
    "clear_lapsed",
    "count_crashes",
    "record_lapsed",
]
