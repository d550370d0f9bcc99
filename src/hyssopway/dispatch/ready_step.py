"""A step with tasks that may start."""

from __future__ import annotations

from dataclasses import dataclass

from hyssopway.workflow import Step, Workflow


@dataclass(slots=True, kw_only=True)
class ReadyStep:
    """Tasks of one step of one occurrence that may start now.

    Attributes:
        workflow: Workflow of the step.
        occurrence: Number of the occurrence.
        number: Number of the step.
        step: The step.
        indexes: Tasks to start.
        order: Sort key; the lowest comes first.
        placed: Runs of the step in progress by VM.
        approved_vms: VMs with a valid ticket for the step; None when it needs none.
    """

    workflow: Workflow
    occurrence: int
    number: int
    step: Step
    indexes: list[int]
    order: tuple[float, ...]
    placed: dict[str, int]
    approved_vms: frozenset[str] | None = None

    def is_approved(self, vm_id: str) -> bool:
        """Tells whether the step may start on a VM as far as its queue's advisor is concerned."""
        return self.approved_vms is None or vm_id in self.approved_vms


__all__ = ["ReadyStep"]
