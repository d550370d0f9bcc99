"""Number of VM boots that ended under a task."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashCount:
    """Number of VM boots that ended while they ran a task.

    Attributes:
        total: All of them.
        at_start: Those that ended right after they had started the task, before they listed its run.
        unconfirmed: Those of which it is not known whether the start of the task had reached them.
        last_ms: Wall-clock time at which the last end was noticed.
    """

    total: int = 0
    at_start: int = 0
    unconfirmed: int = 0
    last_ms: int = 0

    @property
    def confirmed(self) -> int:
        """Number of boots that certainly had the task when they ended."""
        return self.total - self.unconfirmed

    def plus(self, *, is_at_start: bool, is_confirmed: bool = True, at_ms: int = 0) -> CrashCount:
        """Returns the count with one more end of a boot."""
        return CrashCount(
            total=self.total + 1,
            at_start=self.at_start + is_at_start,
            unconfirmed=self.unconfirmed + (not is_confirmed),
            last_ms=at_ms or self.last_ms,
        )


NO_CRASHES = CrashCount()

__all__ = ["NO_CRASHES", "CrashCount"]
