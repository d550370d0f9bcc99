"""A workflow and its progress."""

from __future__ import annotations

from dataclasses import dataclass, field

from .step_progress import StepProgress
from .workflow_spec import WorkflowSpec
from .workflow_status import WorkflowStatus


@dataclass(slots=True, kw_only=True)
class Workflow:
    """An accepted workflow.

    Attributes:
        workflow_id: Identity chosen by the submitter.
        queue: Name of its queue.
        team: Team whose key came with it; empty on a queue open to all.
        spec: What was submitted.
        accepted_ms: Wall-clock time of acceptance.
        status: State that submitters see.
        progress: Progress by occurrence and step; an occurrence is added when it is due.
        occurrences_done: Number of occurrences whose tasks are all done.
        ended_ms: Wall-clock time of the end; 0 before.
    """

    workflow_id: str
    queue: str
    team: str
    spec: WorkflowSpec
    accepted_ms: int
    status: WorkflowStatus = WorkflowStatus.QUEUED
    progress: dict[int, list[StepProgress]] = field(default_factory=dict)
    occurrences_done: int = 0
    ended_ms: int = 0

    def add_occurrence(self, number: int) -> None:
        """Makes the tasks of an occurrence known."""
        if number not in self.progress:
            self.progress[number] = [StepProgress.initial(step.count) for step in self.spec.steps]

    def is_step_ready(self, *, occurrence: int, step: int) -> bool:
        """Tells whether all steps before this one are done."""
        steps = self.progress[occurrence]
        return all(steps[earlier].open_count == 0 for earlier in self.spec.steps[step].after)


__all__ = ["Workflow"]
