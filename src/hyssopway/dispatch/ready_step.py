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
    """

    workflow: Workflow
    occurrence: int
    number: int
    step: Step
    indexes: list[int]
    order: tuple[float, ...]
    placed: dict[str, int]


__all__ = ["ReadyStep"]
