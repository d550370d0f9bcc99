"""Decides which tasks get a second run (a copy) while their first run is in progress.

Addresses racks that go dark at full load: a run on a silent VM has probably ended, but its task waits again only when
the lease of the VM has expired, which takes up to 4 s. A step that allows duplicates need not wait for that.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from hyssopway.workflow import TaskId, may_start_copy

from .racks import RackMap

if TYPE_CHECKING:
    from collections.abc import Collection

    from hyssopway.workflow import Indexes, Tables


class StepKey(NamedTuple):
    """Key of a step of one occurrence of a workflow.

    Attributes:
        workflow: ID of the workflow.
        occurrence: Number of the occurrence.
        step: Number of the step in the workflow.
    """

    workflow: str
    occurrence: int
    step: int


def find_copies_of_silent_runs(
    *, tables: Tables, indexes: Indexes, silent_vms: Collection[str]
) -> dict[StepKey, dict[int, frozenset[str]]]:
    """Finds the tasks whose runs are all on silent VMs and that may get a copy.

    Args:
        tables: Replicated data.
        indexes: Indexes over the data.
        silent_vms: IDs of the VMs that are silent.

    Returns:
        For each step, its tasks to copy with the IDs of the VMs that may not get the copy: those in the racks of the
        task's runs.
    """
    found: dict[StepKey, dict[int, frozenset[str]]] = {}
    racks: RackMap | None = None
    for vm_id in sorted(silent_vms):
        vm = tables.vms.get(vm_id)
        for key in sorted(vm.runs) if vm is not None else ():
            task = TaskId.parse(key.rpartition("/")[0])
            runs = tables.runs.get(task.name, [])
            if any(run.vm not in silent_vms for run in runs):
                continue
            if not is_copy_allowed(tables=tables, indexes=indexes, task=task):
                continue
            if racks is None:
                racks = RackMap(tables.vms)
            excluded = frozenset().union(*(racks.vms_in_rack_of(run.vm) for run in runs))
            found.setdefault(StepKey(task.workflow, task.occurrence, task.step), {})[task.number] = excluded
    return found


def is_copy_allowed(*, tables: Tables, indexes: Indexes, task: TaskId) -> bool:
    """Returns whether a task with a run in progress may get a copy."""
    workflow = tables.workflows[task.workflow]
    step = workflow.spec.steps[task.step]
    if not step.duplicates or step.gang or step.long_running:
        return False
    if workflow.status.is_final or workflow.progress[task.occurrence][task.step].done[task.number]:
        return False
    return may_start_copy(tables, indexes, workflow=workflow, task=task)


__all__ = ["StepKey", "find_copies_of_silent_runs", "is_copy_allowed"]
