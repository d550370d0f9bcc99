"""The end of a run, as passed to the scheduler."""

from __future__ import annotations

from dataclasses import dataclass

from .record import RunOutcome


@dataclass(frozen=True, slots=True, kw_only=True)
class RunEnd:
    """How a run of a job on a VM ended.

    Attributes:
        job_id: ID of the job.
        epoch: Number of the run.
        team: Team of the job.
        task_kind: Kind of task.
        vm: VM that the run was on.
        outcome: How the run ended.
        probe: Whether the run was a test of a quarantined VM.
    """

    job_id: str
    epoch: int
    team: str
    task_kind: str
    vm: str
    outcome: RunOutcome
    probe: bool


__all__ = ["RunEnd"]
