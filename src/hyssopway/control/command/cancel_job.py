"""Cancels a job."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelJob:
    """Cancels a job; its run in progress is stopped.

    Attributes:
        job_id: ID of the job.
        team: Team of the caller's key; empty for operators.
    """

    job_id: str
    team: str
    kind: Literal["cancel_job"] = "cancel_job"


__all__ = ["CancelJob"]
