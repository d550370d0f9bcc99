"""How far one step of one occurrence is."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class StepProgress:
    """Compact progress of the tasks of a step; lists are indexed by task.

    Attributes:
        last_run: Number of the last run that was started; 0 before the first.
        failures: Runs that ended failed.
        done: Whether the task is done.
        pending: Tasks that are not done and have no run in progress.
        saved: Last checkpoint by task.
        open_count: Tasks that are not done.
    """

    last_run: list[int]
    failures: list[int]
    done: list[bool]
    pending: set[int]
    open_count: int
    saved: dict[int, str] = field(default_factory=dict)

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
