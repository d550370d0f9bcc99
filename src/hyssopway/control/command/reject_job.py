"""Ends a pending job that can never run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class RejectJob:
    """Ends a pending job with the status `cannot_run`.

    Attributes:
        job_id: ID of the job.
        reason: Why the job can never run.
    """

    job_id: str
    reason: str
    kind: Literal["reject_job"] = "reject_job"


__all__ = ["RejectJob"]
