"""Finds runs that stand still.

Answers the load pattern of VMs that accept tasks, answer every look and do no work: the share of work done, which
each look lists, stays the same.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.workflow import TaskId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hyssopway.workflow import Workflow

    from .listed_run import ListedRun

# Long enough for a busy VM to list progress twice.
MIN_STALL_S = 1.2
# A share of 1% may take this part of the declared duration longer than expected.
STALL_SHARE = 0.15


class StallDetector:
    """Progress of the runs of one VM.

    Attributes:
        seen: Share done and the local time since which it has been that, by run key.
    """

    __slots__ = ("seen",)

    def __init__(self) -> None:
        self.seen: dict[str, tuple[int, float]] = {}

    def update(self, shares: Iterable[tuple[str, int]], *, now: float) -> None:
        """Takes in a listing of run keys and percent done."""
        fresh: dict[str, tuple[int, float]] = {}
        for key, percent in shares:
            known = self.seen.get(key)
            fresh[key] = known if known is not None and known[0] == percent else (percent, now)
        self.seen = fresh

    def find_stalled(
        self, rows: Iterable[ListedRun], *, workflows: dict[str, Workflow], now: float
    ) -> list[ListedRun]:
        """Takes in a listing and returns the runs of short tasks that stand still."""
        watched: list[tuple[ListedRun, int]] = []
        for row in rows:
            task = TaskId.parse(row.task)
            workflow = workflows.get(task.workflow)
            step = workflow.spec.steps[task.step] if workflow is not None else None
            if step is not None and not step.long_running and not step.fills and not step.gang:
                watched.append((row, step.estimate_ms))
        self.update(((f"{row.task}/{row.run}", row.percent) for row, _ in watched), now=now)
        return [
            row
            for row, declared_ms in watched
            if self.is_stalled(f"{row.task}/{row.run}", declared_ms=declared_ms, now=now)
        ]

    def is_stalled(self, key: str, *, declared_ms: float, now: float) -> bool:
        """Tells whether a run has made no progress for too long."""
        known = self.seen.get(key)
        if known is None:
            return False
        return now - known[1] >= max(MIN_STALL_S, declared_ms / 1000 * STALL_SHARE)


__all__ = ["StallDetector"]
