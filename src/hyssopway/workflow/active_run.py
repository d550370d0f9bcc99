"""A run in progress."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class ActiveRun:
    """A run that was agreed and whose end is not agreed yet.

    Attributes:
        task: Text form of the task's identity.
        run: Number of the run.
        vm: VM that it was placed on.
        boot: Boot of that VM.
        fencing_token: Term of the leader that agreed on it.
    """

    task: str
    run: int
    vm: str
    boot: int
    fencing_token: int

    @property
    def key(self) -> str:
        """Text form of task and run."""
        return f"{self.task}/{self.run}"


__all__ = ["ActiveRun"]
