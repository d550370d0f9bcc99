"""Accepts a job."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from hyssopway.control.record.job_spec import JobSpec


@dataclass(frozen=True, slots=True, kw_only=True)
class AcceptJob:
    """Makes a job durable.

    Attributes:
        job_id: Identity of the job over resends.
        key_id: Public part of the submitter's key.
        team: Team of the key.
        spec: What to run.
    """

    job_id: str
    key_id: str
    team: str
    spec: JobSpec
    kind: Literal["accept_job"] = "accept_job"


__all__ = ["AcceptJob"]
