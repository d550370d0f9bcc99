"""What a VM answers when its runs are held."""

from __future__ import annotations

from dataclasses import dataclass

from .listed_end import ListedEnd
from .listed_run import ListedRun


@dataclass(frozen=True, slots=True, kw_only=True)
class PollReply:
    """Runs of a VM.

    Attributes:
        clock_ms: Steady clock of the VM when it answered.
        boot: Boot of the VM.
        running: Runs in progress.
        ends: Ends that are not acknowledged yet, oldest first.
        is_whole: Whether all such ends are listed.
    """

    clock_ms: int
    boot: int
    running: tuple[ListedRun, ...]
    ends: tuple[ListedEnd, ...]
    is_complete: bool


__all__ = ["PollReply"]
