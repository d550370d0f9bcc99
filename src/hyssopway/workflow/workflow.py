"""A workflow and its progress."""

from __future__ import annotations

from dataclasses import dataclass, field

from .queue_id import QueueId
from .step_progress import StepProgress
from .workflow_spec import WorkflowSpec
from .workflow_status import WorkflowStatus


@dataclass(slots=True, kw_only=True)
class Workflow:
    """An accepted workflow.

    Attributes:
        workflow_id: ID chosen by the submitter.
        queue: ID of its queue.
        team: ID of the team whose API key it was submitted with; empty if it was submitted without a key.
        spec: Specification as submitted.
        accepted_ms: Wall-clock time of acceptance.
        status: Status as shown to submitters.
        progress: Progress by occurrence, then by step; an occurrence is added when it is due.
        occurrences_done: Number of occurrences whose tasks are all done.
        has_begun: Whether a run that has ended is known to have started on its VM; False in records of a state before
            `BEGUN_WORKFLOWS_VERSION`.
        ended_ms: Wall-clock time of the end; 0 until then.
    """

    workflow_id: str
    queue: QueueId
    team: str
    spec: WorkflowSpec
    accepted_ms: int
    status: WorkflowStatus = WorkflowStatus.QUEUED
    progress: dict[int, list[StepProgress]] = field(default_factory=dict)
    occurrences_done: int = 0
    ended_ms: int = 0
    has_begun: bool = False

    def add_occurrence(self, number: int) -> None:
        """Adds the tasks of an occurrence unless they are known."""
        if number not in self.progress:
            self.progress[number] = [StepProgress.initial(step.count) for step in self.spec.steps]

    def is_step_ready(self, *, occurrence: int, step: int) -> bool:
        """Returns whether all steps that a step depends on are done."""
        steps = self.progress[occurrence]
        return all(steps[earlier].open_count == 0 for earlier in self.spec.steps[step].after)


__all__ = ["Workflow"]
