"""What an operator decides about work that does not end."""

from __future__ import annotations

from enum import StrEnum


class DrainDecision(StrEnum):
    """Answer to the question that event 6006 asks about a drain."""

    WAIT = "wait"
    STOP = "stop"


__all__ = ["DrainDecision"]
