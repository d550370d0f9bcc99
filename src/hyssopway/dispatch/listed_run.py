"""Run in progress as its VM lists it."""

from __future__ import annotations

from typing import NamedTuple


class ListedRun(NamedTuple):
    """Run in progress; a named tuple because each poll of a VM lists dozens of runs.

    Attributes:
        task: ID of the task.
        run: Number of the run.
        checkpoint: Last checkpoint; empty if there is none.
        percent: Percentage of the work done; 100 for a long-running task that works at full rate.
        reading: Measurement over the last half second: the tail response time in milliseconds for a latency-bound
            task, the CPU use in millicores for any other.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    reading: int


__all__ = ["ListedRun"]
