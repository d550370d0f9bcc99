"""Status of a job."""

from __future__ import annotations

from enum import StrEnum


class JobStatus(StrEnum):
    """Status of a job; the last four are final."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    CANNOT_RUN = "cannot_run"


__all__ = ["JobStatus"]
