"""Names of tasks."""

from __future__ import annotations

from typing import NamedTuple


class TaskId(NamedTuple):
    """Identity of one task; a tuple, since tens of thousands are keys of dictionaries.

    Attributes:
        workflow: Identity of the workflow.
        occurrence: Number of the occurrence, from 0.
        step: Number of the step, from 0.
        number: Number of the task in its step, from 0.
    """

    workflow: str
    occurrence: int
    step: int
    number: int

    @property
    def name(self) -> str:
        """Text form, ``workflow.occurrence.step.index``."""
        return f"{self.workflow}.{self.occurrence}.{self.step}.{self.number}"

    @property
    def step_name(self) -> str:
        """Text form of its step, ``workflow.occurrence.step``."""
        return f"{self.workflow}.{self.occurrence}.{self.step}"

    @staticmethod
    def parse(name: str) -> TaskId:
        """Reads the text form.

        Raises:
            ValueError: The text names no task.
        """
        workflow, occurrence, step, number = name.split(".")
        return TaskId(workflow, int(occurrence), int(step), int(number))


__all__ = ["TaskId"]
