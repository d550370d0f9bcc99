"""An accepted job."""

from __future__ import annotations

from dataclasses import dataclass, field

from .job_spec import JobSpec
from .job_status import JobStatus
from .run import Run

# A job that is reclaimed again and again must not grow without bound in every replica.
MAX_HISTORY = 32


@dataclass(slots=True, kw_only=True)
class Job:
    """A job from acceptance to its end.

    Attributes:
        job_id: Identity.
        team: Team that submitted it.
        spec: What to run.
        accepted_ms: Wall-clock time in milliseconds, for display.
        accepted_index: Log index of its acceptance.
        status: Where it stands.
        run: The run in progress.
        runs: Runs started so far.
        failures: Runs that ended as failed.
        not_before_ms: State time before which it is not started again.
        cancelling: Whether its run is being stopped for a cancellation.
        checkpoint: Where the next run continues.
        detail: Message of the last run or reason of the end.
        history: Decisions about this job, oldest first.
        ended_ms: Wall-clock time of the end in milliseconds, for display.
    """

    job_id: str
    team: str
    spec: JobSpec
    accepted_ms: int
    accepted_index: int
    status: JobStatus = JobStatus.PENDING
    run: Run | None = None
    runs: int = 0
    failures: int = 0
    not_before_ms: int = 0
    cancelling: bool = False
    checkpoint: str = ""
    detail: str = ""
    history: list[str] = field(default_factory=list)
    ended_ms: int = 0

    def add_history(self, decision: str) -> None:
        """Adds a decision to the bounded history."""
        self.history.append(decision)
        del self.history[:-MAX_HISTORY]


__all__ = ["MAX_HISTORY", "Job"]
