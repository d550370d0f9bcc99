"""Cancels several jobs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelJobs:
    """Cancels jobs of a team in one log entry; jobs that ended or are unknown are skipped.

    Attributes:
        job_ids: IDs of the jobs.
        team: Team of the caller's key; empty for operators.
    """

    job_ids: list[str]
    team: str
    kind: Literal["cancel_jobs"] = "cancel_jobs"


__all__ = ["CancelJobs"]
