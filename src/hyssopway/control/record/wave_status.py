"""Status of a maintenance wave."""

from __future__ import annotations

from enum import StrEnum


class WaveStatus(StrEnum):
    """Status of a wave; only a running one stops further VMs, but VMs in progress are always finished."""

    RUNNING = "running"
    PAUSED = "paused"
    ABORTED = "aborted"
    DONE = "done"


__all__ = ["WaveStatus"]
