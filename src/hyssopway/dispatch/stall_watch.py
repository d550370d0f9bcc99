"""Finds runs that stand still.

Answers the load pattern of VMs that accept tasks, answer every look and do no work: the share of work done, which
each look lists, stays the same.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Long enough for a busy VM to list progress twice.
MIN_STALL_S = 1.2
# A share of 1% may take this part of the declared duration longer than expected.
STALL_SHARE = 0.15


class StallWatch:
    """Progress of the runs of one VM.

    Attributes:
        seen: Share done and the local time since which it has been that, by run key.
    """

    __slots__ = ("seen",)

    def __init__(self) -> None:
        self.seen: dict[str, tuple[int, float]] = {}

    def take(self, shares: Iterable[tuple[str, int]], *, now: float) -> None:
        """Takes in a listing of run keys and percent done."""
        fresh: dict[str, tuple[int, float]] = {}
        for key, percent in shares:
            known = self.seen.get(key)
            fresh[key] = known if known is not None and known[0] == percent else (percent, now)
        self.seen = fresh

    def is_stalled(self, key: str, *, declared_ms: float, now: float) -> bool:
        """Tells whether a run has made no progress for too long."""
        known = self.seen.get(key)
        if known is None:
            return False
        return now - known[1] >= max(MIN_STALL_S, declared_ms / 1000 * STALL_SHARE)


__all__ = ["StallWatch"]
