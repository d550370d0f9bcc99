"""IDs of tasks."""

from __future__ import annotations

from typing import NamedTuple


class TaskId(NamedTuple):
    """ID of a task; a tuple, as tens of thousands of them are dictionary keys.

    Attributes:
        workflow: ID of the workflow.
        occurrence: Number of the occurrence, from 0.
        step: Number of the step, from 0.
        number: Number of the task within its step, from 0.
    """

    workflow: str
    occurrence: int
    step: int
    number: int

    @property
    def name(self) -> str:
        """Text form, ``workflow.occurrence.step.number``."""
        return f"{self.workflow}.{self.occurrence}.{self.step}.{self.number}"

    @property
    def step_name(self) -> str:
        """Text form of the step of the task, ``workflow.occurrence.step``."""
        return f"{self.workflow}.{self.occurrence}.{self.step}"

    @staticmethod
    def parse(name: str) -> TaskId:
        """Parses the text form.

        Raises:
            ValueError: The text is not the ID of a task.
        """
        workflow, occurrence, step, number = name.split(".")
        return TaskId(workflow, int(occurrence), int(step), int(number))


__all__ = ["TaskId"]
