"""How capacity is reclaimed from a run."""

from __future__ import annotations

from enum import StrEnum


class ReclaimAction(StrEnum):
    """Action of a worker on a run that is reclaimed; empty if the run is not reclaimed."""

    NONE = ""
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


__all__ = ["ReclaimAction"]
