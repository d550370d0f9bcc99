"""Decides which ended workflows are forgotten.

Answers the load pattern of tens of thousands of workflows a day: without an end to their records, the state, its
snapshots and the memory of every control node grow for as long as the group lives.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hyssopway.workflow import Workflow

# Submitters may ask for the state this much longer than promised.
SLACK_S = 30.0
CHECK_S = 5.0
MAX_FORGOTTEN = 500


class Retention:
    """Time since which each workflow is seen as ended.

    Counted with the clock of the present leader, because wall clocks may step; a new leader counts from the start of
    its term.

    Attributes:
        keep_s: How long the state of an ended workflow can be asked for, in seconds.
        ended_at: Local time at which each workflow was first seen ended.
        checked_at: Local time of the last check.
    """

    __slots__ = ("checked_at", "ended_at", "keep_s")

    def __init__(self, *, keep_s: float) -> None:
        self.keep_s = keep_s
        self.ended_at: dict[str, float] = {}
        self.checked_at = float("-inf")

    def find_expired(self, workflows: Mapping[str, Workflow], *, now: float) -> tuple[str, ...]:
        """Returns the workflows to forget now; looks every few seconds only."""
        if now - self.checked_at < CHECK_S:
            return ()
        self.checked_at = now
        self.ended_at = {
            workflow_id: self.ended_at.get(workflow_id, now)
            for workflow_id, workflow in workflows.items()
            if workflow.status.is_final
        }
        oldest = now - self.keep_s - SLACK_S
        expired = [workflow_id for workflow_id, at in self.ended_at.items() if at <= oldest]
        return tuple(expired[:MAX_FORGOTTEN])


__all__ = ["Retention"]
