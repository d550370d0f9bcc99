"""Decision of an operator about the work on a VM whose drain is overdue."""

from __future__ import annotations

from enum import StrEnum


class DrainDecision(StrEnum):
    """Answer to event 6006, which asks operators about an overdue drain."""

    WAIT = "wait"
    STOP = "stop"


__all__ = ["DrainDecision"]
