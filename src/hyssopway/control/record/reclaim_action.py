"""How capacity is taken back from a run."""

from __future__ import annotations

from enum import StrEnum


class ReclaimAction(StrEnum):
    """What a worker does with a run that is reclaimed; empty when it is not."""

    NONE = ""
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


__all__ = ["ReclaimAction"]
