"""States of a workflow."""

from __future__ import annotations

from enum import StrEnum


class WorkflowStatus(StrEnum):
    """State of a workflow as submitters see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether nothing of the workflow runs from now on."""
        return self not in {WorkflowStatus.QUEUED, WorkflowStatus.RUNNING}


__all__ = ["WorkflowStatus"]
