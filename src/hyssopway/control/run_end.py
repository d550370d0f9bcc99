"""The end of a run, as schedulers learn from it."""

from __future__ import annotations

from dataclasses import dataclass

from .record import RunOutcome


@dataclass(frozen=True, slots=True, kw_only=True)
class RunEnd:
    """How a run of a job on a VM ended.

    Attributes:
        job_id: Job.
        epoch: Number of the run.
        team: Team of the job.
        task_kind: Kind of task.
        vm: VM.
        outcome: How it ended.
        probe: Whether it tested a quarantined VM.
    """

    job_id: str
    epoch: int
    team: str
    task_kind: str
    vm: str
    outcome: RunOutcome
    probe: bool


__all__ = ["RunEnd"]
