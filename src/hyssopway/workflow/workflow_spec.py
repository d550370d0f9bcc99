"""The specification of a workflow."""

from __future__ import annotations

from dataclasses import dataclass

from .step import Step


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkflowSpec:
    """A workflow as submitted.

    Attributes:
        specification: Text that is passed to each task.
        steps: Steps in the order of their numbers.
        repeat_count: Number of scheduled occurrences; 0 for a workflow that runs once, without a schedule.
        start_at_ms: Wall-clock time at which occurrence 0 is due.
        interval_ms: Time between two occurrences in milliseconds.
    """

    specification: str
    steps: tuple[Step, ...]
    repeat_count: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrence_count(self) -> int:
        """Number of times that the steps are executed."""
        return max(1, self.repeat_count)

    def due_ms(self, occurrence: int) -> int:
        """Returns the wall-clock time before which an occurrence must not start; 0 if there is no such time."""
        return self.start_at_ms + occurrence * self.interval_ms if self.repeat_count else 0


__all__ = ["WorkflowSpec"]
