"""Finds ended workflows whose records have expired and may be deleted.

With tens of thousands of workflows a day, the replicated state, its snapshots and the memory of every control node
would otherwise grow without bound.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hyssopway.workflow import Workflow

# Records are kept this much longer than submitters are promised.
SLACK_S = 30.0
CHECK_INTERVAL_S = 5.0
MAX_DELETIONS = 500


class Retention:
    """Tracks how long each workflow has been in a final state.

    Times are measured with the monotonic clock of the current leader, because wall clocks may step; a new leader
    starts to count with its term.

    Attributes:
        retention_s: How long the status of an ended workflow can be queried, in seconds.
        ended_at: Local time at which each workflow was first found in a final state, by workflow ID.
        checked_at: Local time of the last check.
    """

    __slots__ = ("checked_at", "ended_at", "retention_s")

    def __init__(self, *, retention_s: float) -> None:
        self.retention_s = retention_s
        self.ended_at: dict[str, float] = {}
        self.checked_at = float("-inf")

    def find_expired(self, workflows: Mapping[str, Workflow], *, now: float) -> tuple[str, ...]:
        """Returns the IDs of the workflows to delete, or none if the last check was too recent."""
        if now - self.checked_at < CHECK_INTERVAL_S:
            return ()
        self.checked_at = now
        self.ended_at = {
            workflow_id: self.ended_at.get(workflow_id, now)
            for workflow_id, workflow in workflows.items()
            if workflow.status.is_final
        }
        oldest = now - self.retention_s - SLACK_S
        expired = [workflow_id for workflow_id, at in self.ended_at.items() if at <= oldest]
        return tuple(expired[:MAX_DELETIONS])


__all__ = ["Retention"]
