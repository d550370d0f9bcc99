"""Index of the open tasks under which VMs have ended."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .crash_count import NO_CRASHES, CrashCount
from .task_id import TaskId

if TYPE_CHECKING:
    from .tables import Tables


class CrashSuspects:
    """Open tasks that may have crashed the VMs that ran them; empty while no VM ends unexpectedly.

    Attributes:
        crashes: Number of VM boots that ended while they ran the task, by task.
        lapsed: Number of runs whose lease ended without contact and whose VM has not been heard since, by task. Whether
            the VM crashed is not known yet.
    """

    __slots__ = ("crashes", "lapsed")

    def __init__(self, tables: Tables) -> None:
        self.crashes: dict[str, CrashCount] = {}
        self.lapsed: Counter[str] = Counter()
        for workflow in tables.workflows.values():
            if workflow.status.is_final:
                continue
            for occurrence, steps in workflow.progress.items():
                for step, progress in enumerate(steps):
                    for number, count in progress.crashes.items():
                        if not progress.done[number]:
                            name = TaskId(workflow.workflow_id, occurrence, step, number).name
                            self.crashes[name] = count
        for vm in tables.vms.values():
            self.add_lapsed(vm.lapsed)

    def add_lapsed(self, keys: set[str]) -> None:
        """Adds runs, by key, whose lease ended without contact."""
        self.lapsed.update(key.rpartition("/")[0] for key in keys)

    def discard_lapsed(self, keys: set[str]) -> None:
        """Removes runs, by key, whose VM was heard of again."""
        self.lapsed -= Counter(key.rpartition("/")[0] for key in keys)

    def discard_task(self, task: str) -> None:
        """Removes a task that is done or whose workflow has ended."""
        self.crashes.pop(task, None)

    def list_tasks(self) -> set[str]:
        """Returns the names of the tasks."""
        return {*self.crashes, *self.lapsed}

    def level(self, task: str) -> int:
        """Returns how many VMs have ended under a task, counting those that may have."""
        return self.crashes.get(task, NO_CRASHES).total + self.lapsed[task]


__all__ = ["CrashSuspects"]
