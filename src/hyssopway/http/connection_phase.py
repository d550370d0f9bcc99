"""What a connection waits for."""

from __future__ import annotations

from enum import Enum, auto


class ConnectionPhase(Enum):
    """What a connection waits for."""

    IDLE = auto()
    HEAD = auto()
    BODY = auto()
    RESPONSE = auto()


__all__ = ["ConnectionPhase"]
