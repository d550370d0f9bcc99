"""Answer of a VM to a poll."""

from __future__ import annotations

from dataclasses import dataclass

from .listed_end import ListedEnd
from .listed_run import ListedRun


@dataclass(frozen=True, slots=True, kw_only=True)
class PollReply:
    """Runs that a VM lists when it is polled.

    Attributes:
        clock_ms: Monotonic clock of the VM when it answered.
        boot: Boot number of the VM.
        running: Runs in progress.
        ends: Ends of runs that the leader has not acknowledged yet, oldest first.
        is_complete: Whether all unacknowledged ends are listed.
    """

    clock_ms: int
    boot: int
    running: tuple[ListedRun, ...]
    ends: tuple[ListedEnd, ...]
    is_complete: bool

    def list_ends(self) -> list[str]:
        """Returns the keys of the runs in `ends`."""
        return [f"{one.end.task}/{one.end.run}" for one in self.ends]


__all__ = ["PollReply"]
