"""Named crash points for fault injection in tests.

With `HYSSOPWAY_CRASH_POINT=name:count` in the environment the process sends itself SIGKILL when it reaches the point
for the count-th time. Without the variable, crash points have no effect.
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
    """Number of times the enabled crash point may still be reached."""

    __slots__ = ("lock", "name", "remaining")

    def __init__(self, *, setting: str) -> None:
        name, _, count = setting.partition(":")
        if name and (name not in CRASH_POINTS or not count.isdigit()):
            raise ValueError(
                f"{CRASH_POINT_VARIABLE}={setting!r} is not name:count with one of {', '.join(CRASH_POINTS)}"
            )
        self.name = name
        self.remaining = int(count or 0)
        # Crash points are reached on the event loop and in writer threads.
        self.lock = threading.Lock()

    def count_down(self) -> None:
        """Decrements the counter and kills the process when it reaches zero."""
        with self.lock:
            self.remaining -= 1
            if self.remaining <= 0:
                os.kill(os.getpid(), signal.SIGKILL)


_COUNTDOWN = _Countdown(setting=os.environ.get(CRASH_POINT_VARIABLE, ""))


def crash_point(name: str) -> None:
    """Kills the process if this crash point is enabled and its count is reached."""
    if name == _COUNTDOWN.name:
        _COUNTDOWN.count_down()


__all__ = ["CRASH_POINTS", "CRASH_POINT_VARIABLE", "crash_point"]
