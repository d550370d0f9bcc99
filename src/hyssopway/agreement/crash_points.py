"""Named points at which a process kills itself, for tests of crashes.

`HYSSOPWAY_CRASH_POINT=name:count` ends the process with SIGKILL when it reaches the point for the count-th time.
Without the variable a point does nothing.
"""

from __future__ import annotations

import os
import signal
import threading

CRASH_POINT_VARIABLE = "HYSSOPWAY_CRASH_POINT"

CRASH_POINTS = (
    "received",
    "written",
    "synced",
    "vote-synced",
    "snapshot-written",
    "log-replaced",
    "applied",
    "answering",
)


class _Countdown:
    """Arrivals left at the point that is enabled."""

    __slots__ = ("lock", "name", "remaining")

    def __init__(self, *, setting: str) -> None:
        name, _, count = setting.partition(":")
        if name and (name not in CRASH_POINTS or not count.isdigit()):
            raise ValueError(
                f"{CRASH_POINT_VARIABLE}={setting!r} is not one of {', '.join(CRASH_POINTS)} with a count"
            )
        self.name = name
        self.remaining = int(count or 0)
        # Points are reached on the event loop and in threads that write.
        self.lock = threading.Lock()

    def count_down(self) -> None:
        """Counts one arrival and ends the process at the last."""
        with self.lock:
            self.remaining -= 1
            if self.remaining <= 0:
                os.kill(os.getpid(), signal.SIGKILL)


_COUNTDOWN = _Countdown(setting=os.environ.get(CRASH_POINT_VARIABLE, ""))


def crash_point(name: str) -> None:
    """Ends the process here if the point is enabled and its count is reached."""
    if name == _COUNTDOWN.name:
        _COUNTDOWN.count_down()


__all__ = ["CRASH_POINTS", "CRASH_POINT_VARIABLE", "crash_point"]
