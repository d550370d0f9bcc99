"""Status of a maintenance wave."""

from __future__ import annotations

from enum import StrEnum


class WaveStatus(StrEnum):
    """Whether a wave stops further VMs; VMs in progress are finished in every status."""

    RUNNING = "running"
    PAUSED = "paused"
    ABORTED = "aborted"
    DONE = "done"


__all__ = ["WaveStatus"]
