"""Status of a workflow."""

from __future__ import annotations

from enum import StrEnum


class WorkflowStatus(StrEnum):
    """Status of a workflow as shown to submitters."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the workflow has ended and starts no further run."""
        return self not in {WorkflowStatus.QUEUED, WorkflowStatus.RUNNING}


__all__ = ["WorkflowStatus"]
