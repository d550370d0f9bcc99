"""Rules that a start must keep when its command is applied.

A placement is decided from a view of the state that may lack commands on their way. All decisions meet in the
replicated log, so the rules are checked again where a start is applied.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from .commands import RunStart
from .task_copies import may_start_copy
from .task_id import TaskId

if TYPE_CHECKING:
    from .indexes import Indexes
    from .tables import Tables


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


@dataclass(frozen=True, slots=True, kw_only=True)
class SkippedStart:
    """A committed start that was not carried out when its command was applied.

    Attributes:
        start: The start.
        rule: First rule that it broke.
    """

    start: RunStart
    rule: StartRule


def find_broken_rule(tables: Tables, indexes: Indexes, *, start: RunStart) -> StartRule | None:
    """Returns the first rule that a start would break, or None; changes nothing."""
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
    if not indexes.fits_limit(workflow=workflow, step=step):
        return StartRule.TEAM_LIMIT
    if not indexes.fits_vm(vm=vm, step=step):
        return StartRule.VM_CAPACITY
    return None


__all__ = ["SkippedStart", "StartRule", "find_broken_rule"]
