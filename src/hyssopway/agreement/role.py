"""Role of a member."""

from __future__ import annotations

from enum import StrEnum


class Role(StrEnum):
    """What a member does in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    STOPPED = "stopped"


__all__ = ["Role"]
