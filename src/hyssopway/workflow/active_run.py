"""A run in progress."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class ActiveRun:
    """A run whose start is committed and whose end is not committed yet.

    Attributes:
        task: ID of the task in text form.
        run: Number of the run within the task.
        vm: VM that the run was placed on.
        boot: Boot number of that VM.
        fencing_token: Term of the leader that proposed the start.
        started_ms: Wall-clock time at which the start was proposed; 0 if it is unknown.
        is_moved: Whether the run was in doubt when the present boot of its VM followed the one that it was placed on.
        is_counted: Whether the end of this boot was counted for its task; the run is kept, as its start may have reached the
            next boot.
    """

    task: str
    run: int
    vm: str
    boot: int
    fencing_token: int
    started_ms: int = 0
    is_moved: bool = False
    is_counted: bool = False

    @property
    def key(self) -> str:
        """Key of the run, ``task/run``."""
        return f"{self.task}/{self.run}"


__all__ = ["ActiveRun"]
