"""Detects runs that make no progress.

A faulty VM may accept tasks and answer every poll but do no work; the percentage of work done that each poll lists
then stays the same.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.workflow import TaskId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hyssopway.workflow import Workflow

    from .listed_run import ListedRun

# Long enough for a busy VM to report progress twice.
MIN_STALL_S = 1.2
# One percent of progress may take up to this share of the declared duration.
STALL_SHARE = 0.15


class StallDetector:
    """Tracks the progress of the runs of one VM.

    Attributes:
        last_progress: Percentage done and the local time of its last change, by run key.
    """

    __slots__ = ("last_progress",)

    def __init__(self) -> None:
        self.last_progress: dict[str, tuple[int, float]] = {}

    def clear(self) -> None:
        """Forgets the runs of a boot that has ended; the next one may list the same runs again from their beginning."""
        self.last_progress.clear()

    def update(self, progress: Iterable[tuple[str, int]], *, now: float) -> None:
        """Records the percentage done of each listed run and drops runs that are no longer listed."""
        updated: dict[str, tuple[int, float]] = {}
        for key, percent in progress:
            last = self.last_progress.get(key)
            updated[key] = last if last is not None and last[0] == percent else (percent, now)
        self.last_progress = updated

    def find_stalled(
        self, runs: Iterable[ListedRun], *, workflows: dict[str, Workflow], now: float
    ) -> list[ListedRun]:
        """Records the progress of the listed runs and returns the stalled ones.

        Long-running, best-effort and gang-scheduled tasks are not checked.
        """
        candidates: list[tuple[ListedRun, int]] = []
        for row in runs:
            task = TaskId.parse(row.task)
            workflow = workflows.get(task.workflow)
            step = workflow.spec.steps[task.step] if workflow is not None else None
            if step is not None and not step.long_running and not step.fills and not step.gang:
                candidates.append((row, step.estimate_ms))
        self.update(((f"{row.task}/{row.run}", row.percent) for row, _ in candidates), now=now)
        return [
            row
            for row, declared_ms in candidates
            if self.is_stalled(f"{row.task}/{row.run}", declared_ms=declared_ms, now=now)
        ]

    def is_stalled(self, key: str, *, declared_ms: float, now: float) -> bool:
        """Returns whether a run has made no progress for too long."""
        last = self.last_progress.get(key)
        if last is None:
            return False
        return now - last[1] >= max(MIN_STALL_S, declared_ms / 1000 * STALL_SHARE)


__all__ = ["StallDetector"]
