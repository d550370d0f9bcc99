"""An accepted job."""

from __future__ import annotations

from dataclasses import dataclass, field

from .job_spec import JobSpec
from .job_status import JobStatus
from .lost_run import LostRun
from .run import Run

# Bounds the size of a job that is reclaimed repeatedly; every replica holds it.
MAX_HISTORY = 32


@dataclass(slots=True, kw_only=True)
class Job:
    """A job from acceptance to its end.

    Attributes:
        job_id: ID of the job.
        team: Team that submitted it.
        spec: Specification as submitted.
        accepted_ms: Wall-clock time of its acceptance in milliseconds, for display.
        accepted_index: Log index of its acceptance.
        status: Status of the job.
        run: Run in progress; None if there is none.
        runs: Number of runs started so far.
        failures: Number of failed runs.
        lost_runs: Runs that were lost soon after their start.
        not_before_ms: Cluster time before which no further run starts (retry backoff).
        cancelling: Whether its run is being stopped because the job was cancelled.
        checkpoint: Checkpoint from which the next run continues; empty if there is none.
        detail: Message of the last run, or why the job ended.
        history: Latest decisions about this job, oldest first.
        ended_ms: Wall-clock time of the end in milliseconds, for display; 0 until then.
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
    lost_runs: list[LostRun] = field(default_factory=list)
    not_before_ms: int = 0
    cancelling: bool = False
    checkpoint: str = ""
    detail: str = ""
    history: list[str] = field(default_factory=list)
    ended_ms: int = 0

    def add_history(self, decision: str) -> None:
        """Adds a decision to the history and drops the oldest one beyond the limit."""
        self.history.append(decision)
        del self.history[:-MAX_HISTORY]


__all__ = ["MAX_HISTORY", "Job"]
