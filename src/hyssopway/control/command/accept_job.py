"""Accepts a job."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from hyssopway.control.record.job_spec import JobSpec


@dataclass(frozen=True, slots=True, kw_only=True)
class AcceptJob:
    """Accepts a job and stores it durably.

    Attributes:
        job_id: ID of the job; a retry has the same one.
        key_id: Public part of the submitter's key.
        team: Team that the key belongs to.
        spec: Specification of the job.
    """

    job_id: str
    key_id: str
    team: str
    spec: JobSpec
    kind: Literal["accept_job"] = "accept_job"


__all__ = ["AcceptJob"]
