"""Time sources."""

from __future__ import annotations

import time
from collections.abc import Callable

Clock = Callable[[], float]


def monotonic_s() -> float:
    """Returns monotonic time in seconds, which includes the time that the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Returns wall-clock time in milliseconds, for display and for ordering by the leader."""
    return time.time_ns() // 1_000_000


__all__ = ["Clock", "monotonic_s", "wall_ms"]
