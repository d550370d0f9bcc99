"""A workflow step with tasks that are ready to start."""

from __future__ import annotations

from dataclasses import dataclass, field

from hyssopway.scheduling.crash_isolation import Suspicion
from hyssopway.workflow import Step, TaskId, Workflow


@dataclass(slots=True, kw_only=True)
class ReadyStep:
    """Tasks of one step, in one occurrence of its workflow, that are ready to start.

    Attributes:
        workflow: Workflow of the step.
        occurrence: Number of the occurrence.
        number: Number of the step in the workflow.
        step: What the tasks of the step need.
        indexes: Indexes of the tasks to start.
        order: Sort key of the service order; the lowest is served first.
        placed: Number of runs of the step by VM ID, with the starts that the round has placed; see `PlacedRuns`.
        excluded_vms: IDs of VMs on which a task is not placed, by the index of the task; only for some tasks.
        probe_indexes: Indexes of the tasks that may run on a VM that is probed.
        suspects: Indexes of the tasks that may crash their VMs, and how each is placed.
        approved_vms: IDs of VMs with a valid ticket for the step; None when the step needs no ticket.
    """

    workflow: Workflow
    occurrence: int
    number: int
    step: Step
    indexes: list[int]
    order: tuple[float, ...]
    placed: dict[str, int]
    excluded_vms: dict[int, frozenset[str]] = field(default_factory=dict)
    probe_indexes: frozenset[int] = frozenset()
    suspects: dict[int, Suspicion] = field(default_factory=dict)
    approved_vms: frozenset[str] | None = None

    def task_name(self, index: int) -> str:
        """Returns the name of a task of the step."""
        return TaskId(self.workflow.workflow_id, self.occurrence, self.number, index).name

    def is_approved(self, vm_id: str) -> bool:
        """Returns whether the step needs no ticket of its queue's advisor or has one for a VM."""
        return self.approved_vms is None or vm_id in self.approved_vms


__all__ = ["ReadyStep"]
