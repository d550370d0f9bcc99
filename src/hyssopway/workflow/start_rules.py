"""Rules that a start must keep when its command is applied.

A placement is decided from a view of the state that may lack commands on their way. All decisions meet in the
replicated log, so each rule that the replicated state can decide is checked again where a start is applied. Approval
by an advisor is not among them: it is a ticket, which the VM checks.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from .commands import RunStart
from .state_version import PLACEMENT_RULES_VERSION
from .task_copies import may_start_copy
from .task_id import TaskId

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .indexes import Indexes
    from .tables import Tables
    from .vm_record import VmRecord
    from .workflow import Workflow


class StartRule(StrEnum):
    """A rule that a start must keep."""

    WORKFLOW_IS_OPEN = "workflow is open"
    VM_IS_KNOWN = "VM is known"
    VM_ACCEPTS_STARTS = "VM and its zone accept starts"
    OCCURRENCE_IS_DUE = "occurrence is due"
    TASK_IS_OPEN = "task is open"
    RUN_NUMBER_IS_NEW = "run number is new"
    COPY_IS_ALLOWED = "copy is allowed"
    ONE_RUN_OF_TASK_ON_VM = "one run of a task on a VM"
    TEAM_LIMIT = "upper limit of the team"
    VM_CAPACITY = "capacity of the VM"
    SPREAD_LIMIT = "spread limit of the step"
    LABEL = "label that the step needs"
    POOL = "pool that the queue leads to"
    EARLIER_STEPS_ARE_DONE = "steps that the step comes after are done"
    GANG_IS_WHOLE = "all members of a gang start together"


@dataclass(frozen=True, slots=True, kw_only=True)
class SkippedStart:
    """A committed start that was not carried out when its command was applied.

    Attributes:
        start: The start.
        rule: First rule that it broke.
    """

    start: RunStart
    rule: StartRule


def group_starts(tables: Tables, starts: Iterable[RunStart]) -> list[list[RunStart]]:
    """Returns the starts in groups that are carried out as a whole or not at all: the members of a gang's run."""
    groups: dict[tuple[str, int], list[RunStart]] = {}
    for number, start in enumerate(starts):
        task = TaskId.parse(start.task)
        is_member = tables.version >= PLACEMENT_RULES_VERSION and _is_gang(tables, task=task)
        key = (task.step_name, start.run) if is_member else (start.task, -1 - number)
        groups.setdefault(key, []).append(start)
    return list(groups.values())


def find_broken_rule(tables: Tables, indexes: Indexes, *, group: Sequence[RunStart]) -> StartRule | None:
    """Returns the first rule that the starts of a group would break, or None; changes nothing."""
    if tables.version >= PLACEMENT_RULES_VERSION and not _is_whole(tables, group=group):
        return StartRule.GANG_IS_WHOLE
    for number, start in enumerate(group):
        rule = _find_broken_rule(tables, indexes, start=start, earlier=group[:number])
        if rule is not None:
            return rule
    return None


def _is_gang(tables: Tables, *, task: TaskId) -> bool:
    workflow = tables.workflows.get(task.workflow)
    return workflow is not None and workflow.spec.steps[task.step].gang


def _is_whole(tables: Tables, *, group: Sequence[RunStart]) -> bool:
    """Returns whether a group has each member of a gang once; a group of another step always is whole."""
    tasks = [TaskId.parse(start.task) for start in group]
    if not _is_gang(tables, task=tasks[0]):
        return True
    count = tables.workflows[tasks[0].workflow].spec.steps[tasks[0].step].count
    return len(tasks) == count == len({task.number for task in tasks})


def _find_broken_rule(
    tables: Tables, indexes: Indexes, *, start: RunStart, earlier: Sequence[RunStart]
) -> StartRule | None:
    """Returns the first rule that a start would break after the earlier starts of its group, or None."""
    task = TaskId.parse(start.task)
    workflow = tables.workflows.get(task.workflow)
    vm = tables.vms.get(start.vm)
    if workflow is None or workflow.status.is_final:
        return StartRule.WORKFLOW_IS_OPEN
    if vm is None:
        return StartRule.VM_IS_KNOWN
    if not tables.accepts_starts(vm):
        return StartRule.VM_ACCEPTS_STARTS
    if task.occurrence not in workflow.progress:
        return StartRule.OCCURRENCE_IS_DUE
    progress = workflow.progress[task.occurrence][task.step]
    if progress.done[task.number]:
        return StartRule.TASK_IS_OPEN
    if start.run <= progress.last_run[task.number]:
        return StartRule.RUN_NUMBER_IS_NEW
    runs = tables.runs.get(start.task, ())
    if runs and not may_start_copy(tables, indexes, workflow=workflow, task=task):
        return StartRule.COPY_IS_ALLOWED
    if any(run.vm == start.vm for run in runs):
        return StartRule.ONE_RUN_OF_TASK_ON_VM  # a VM identifies a run by its task
    step = workflow.spec.steps[task.step]
    on_vm = sum(other.vm == start.vm for other in earlier)
    if not indexes.fits_limit(workflow=workflow, step=step, runs=1 + len(earlier)):
        return StartRule.TEAM_LIMIT
    if not indexes.fits_vm(vm=vm, step=step, runs=1 + on_vm):
        return StartRule.VM_CAPACITY
    if tables.version < PLACEMENT_RULES_VERSION:
        return None
    return _find_broken_placement_rule(tables, indexes, workflow=workflow, task=task, vm=vm, earlier=earlier)


def _find_broken_placement_rule(
    tables: Tables,
    indexes: Indexes,
    *,
    workflow: Workflow,
    task: TaskId,
    vm: VmRecord,
    earlier: Sequence[RunStart],
) -> StartRule | None:
    step = workflow.spec.steps[task.step]
    if (step.gang or step.long_running) and tables.runs.get(task.name):
        return StartRule.COPY_IS_ALLOWED
    if not workflow.is_step_ready(occurrence=task.occurrence, step=task.step):
        return StartRule.EARLIER_STEPS_ARE_DONE
    on_vm = sum(other.vm == vm.vm_id for other in earlier)
    if step.spread_limit and _count_runs(vm, task=task) + on_vm >= step.spread_limit:
        return StartRule.SPREAD_LIMIT
    if step.label and step.label not in vm.labels:
        return StartRule.LABEL
    queue = indexes.queue_of(workflow)
    if queue is None or queue.pool != vm.pool:
        return StartRule.POOL
    return None


def _count_runs(vm: VmRecord, *, task: TaskId) -> int:
    """Returns the number of runs on a VM of the step of a task, with copies and runs that are to be stopped."""
    prefix = f"{task.step_name}."
    return sum(key.startswith(prefix) for key in vm.runs)


__all__ = ["SkippedStart", "StartRule", "find_broken_rule", "group_starts"]
