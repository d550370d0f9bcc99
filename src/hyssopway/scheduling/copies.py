"""Decides which tasks get a second run (a copy) while their first run is in progress.

Addresses racks that go dark at full load: a run on a silent VM has probably ended, but its task waits again only when
the lease of the VM has expired, which takes up to 4 s. A step that allows duplicates need not wait for that. Also
addresses VMs that are several times slower than others, on which one task holds up its step.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from hyssopway.workflow import TaskId, may_start_copy

from .racks import RackMap

if TYPE_CHECKING:
    from collections.abc import Collection

    from hyssopway.workflow import Indexes, Tables

# A run that lasts longer than this share of the runs of its queue is slow.
SLOW_SHARE = 0.95
# Copies of runs that are not on silent VMs use at most this share of a pool's CPU.
BUDGET_SHARE = 0.05


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


# Tasks to copy by step, with the IDs of the VMs that may not get the copy.
Copies = dict[StepKey, dict[int, frozenset[str]]]


def find_copies_of_silent_runs(*, tables: Tables, indexes: Indexes, silent_vms: Collection[str]) -> Copies:
    """Finds the tasks whose runs are all on silent VMs and that may get a copy.

    Args:
        tables: Replicated data.
        indexes: Indexes over the data.
        silent_vms: IDs of the VMs that are silent.

    Returns:
        For each step, its tasks to copy with the IDs of the VMs that may not get the copy: those in the racks of the
        task's runs.
    """
    found: Copies = {}
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
            excluded = racks.vms_in_rack_of(vm_id)
            if len(runs) > 1:
                excluded = excluded.union(*(racks.vms_in_rack_of(run.vm) for run in runs))
            found.setdefault(StepKey(task.workflow, task.occurrence, task.step), {})[task.number] = excluded
    return found


@dataclass(frozen=True, slots=True, kw_only=True)
class RunPace:
    """How far a run in progress has come.

    Attributes:
        elapsed_s: Seconds since its start.
        listed_s: Seconds from its start to the last list of the VM's runs.
        percent: Percentage of the work done according to that list.
    """

    elapsed_s: float
    listed_s: float
    percent: int

    @property
    def total_s(self) -> float:
        """Duration of the run if it goes on at its pace; a run without progress counts as at half a percent."""
        return self.listed_s * 100 / max(0.5, self.percent)


def is_slow(pace: RunPace, *, usual_s: float, slow_s: float) -> bool:
    """Returns whether a copy that takes the usual time would probably end before a run.

    Args:
        pace: How far the run has come.
        usual_s: Median duration of such a run.
        slow_s: Duration that `SLOW_SHARE` of such runs do not exceed.
    """
    if pace.elapsed_s <= slow_s or pace.listed_s < usual_s / 2:
        return False  # too early to judge its pace
    return pace.total_s - pace.elapsed_s > usual_s


class CopyBudget:
    """CPU that copies of slow runs may use in each pool.

    Attributes:
        left_millis: Millicores left by pool.
    """

    __slots__ = ("left_millis",)

    def __init__(self, *, tables: Tables, indexes: Indexes, silent_vms: Collection[str]) -> None:
        capacity: Counter[str] = Counter()
        for vm in tables.vms.values():
            capacity[vm.pool] += vm.capacity.cpu_millis
        self.left_millis = {pool: BUDGET_SHARE * millis for pool, millis in capacity.items()}
        for runs in tables.runs.values():
            if len(runs) > 1 and not any(run.vm in silent_vms for run in runs):
                task = TaskId.parse(runs[0].task)
                workflow = tables.workflows[task.workflow]
                pool = indexes.pool_of(workflow)
                self.reserve(pool, workflow.spec.steps[task.step].cpu_millis)

    def has(self, pool: str, cpu_millis: int) -> bool:
        """Returns whether one more copy fits the budget of a pool."""
        return cpu_millis <= self.left_millis.get(pool, 0.0)

    def reserve(self, pool: str, cpu_millis: int) -> None:
        """Counts one copy."""
        self.left_millis[pool] = self.left_millis.get(pool, 0.0) - cpu_millis


def is_copy_allowed(*, tables: Tables, indexes: Indexes, task: TaskId) -> bool:
    """Returns whether a task with a run in progress may get a copy."""
    workflow = tables.workflows[task.workflow]
    step = workflow.spec.steps[task.step]
    if not step.duplicates or step.gang or step.long_running:
        return False
    if workflow.status.is_final or workflow.progress[task.occurrence][task.step].done[task.number]:
        return False
    return may_start_copy(tables, indexes, workflow=workflow, task=task)


__all__ = [
    "SLOW_SHARE",
    "Copies",
    "CopyBudget",
    "RunPace",
    "StepKey",
    "find_copies_of_silent_runs",
    "is_copy_allowed",
    "is_slow",
]
