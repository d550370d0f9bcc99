"""A run as its VM lists it."""

from __future__ import annotations

from typing import NamedTuple


class ListedRun(NamedTuple):
    """A run in progress; a tuple, since each look at a VM lists dozens.

    Attributes:
        task: Text form of the task's identity.
        run: Number of the run.
        checkpoint: Last checkpoint; empty for none.
        percent: Share of its work that is done; for a long-running task 100 once it is at work without a limit.
        reading: Tail of the response time in milliseconds for a task that serves, else thousandths of a core
            in use; over the last half second.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    reading: int


__all__ = ["ListedRun"]
