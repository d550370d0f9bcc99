"""Progress of one step of one occurrence."""

from __future__ import annotations

from dataclasses import dataclass, field

from .crash_count import CrashCount


@dataclass(slots=True, kw_only=True)
class StepProgress:
    """Progress of the tasks of a step; the lists are indexed by task number.

    Attributes:
        last_run: Number of the last run that was started; 0 before the first.
        failures: Number of failed runs.
        done: Whether the task is done.
        pending: Tasks that are not done and have no run in progress.
        saved: Last checkpoint by task number.
        open_count: Number of tasks that are not done.
        crashes: Number of VM boots that ended under the task, by task number; only for some tasks.
    """

    last_run: list[int]
    failures: list[int]
    done: list[bool]
    pending: set[int]
    open_count: int
    saved: dict[int, str] = field(default_factory=dict)
    crashes: dict[int, CrashCount] = field(default_factory=dict)

    @staticmethod
    def initial(count: int) -> StepProgress:
        """Returns the progress of a step that has not started."""
        return StepProgress(
            last_run=[0] * count,
            failures=[0] * count,
            done=[False] * count,
            pending=set(range(count)),
            open_count=count,
        )


__all__ = ["StepProgress"]
