"""Reports a VM that lists more tasks of a step than the spread limit of the step allows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event
from hyssopway.workflow import TaskId

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from hyssopway.workflow import Tables

    from .listed_run import ListedRun


class SpreadWatch:
    """Checks the lists of one VM; only runs that the list before did not have cost more than a comparison of keys.

    Attributes:
        vm_id: ID of the VM.
        seen: Keys of the runs in the last list.
    """

    __slots__ = ("seen", "vm_id")

    def __init__(self, *, vm_id: str) -> None:
        self.vm_id = vm_id
        self.seen: frozenset[str] = frozenset()

    def check(self, listed: dict[str, ListedRun], *, committed: Collection[str], tables: Tables) -> None:
        """Logs each step that a newly listed run takes beyond its limit.

        Args:
            listed: Listed runs by key.
            committed: Keys of the VM's runs in progress in the replicated state.
            tables: Replicated data.
        """
        added = listed.keys() - self.seen
        self.seen = frozenset(listed)
        limits = {
            TaskId.parse(listed[key].task).step_name: limit
            for key in added
            if (limit := _spread_limit(listed[key].task, tables=tables))
        }
        for step, limit in sorted(limits.items()):
            runs = _runs_of_step(step, keys=listed)
            if len(runs) > limit:
                log_event(
                    Event.SPREAD_EXCEEDED,
                    vm=self.vm_id,
                    count=len(runs),
                    step=step,
                    limit=limit,
                    runs=runs,
                    not_in_state=[key for key in runs if key not in committed],
                )


def _spread_limit(task_name: str, *, tables: Tables) -> int:
    task = TaskId.parse(task_name)
    workflow = tables.workflows.get(task.workflow)
    return workflow.spec.steps[task.step].spread_limit if workflow is not None else 0


def _runs_of_step(step: str, *, keys: Iterable[str]) -> list[str]:
    return sorted(key for key in keys if key.startswith(f"{step}."))


__all__ = ["SpreadWatch"]
