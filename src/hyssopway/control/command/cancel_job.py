"""Cancels a job."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelJob:
    """Cancels a job; a running task is stopped.

    Attributes:
        job_id: The job.
        team: Team of the key; empty for operators.
    """

    job_id: str
    team: str
    kind: Literal["cancel_job"] = "cancel_job"


__all__ = ["CancelJob"]
