"""Roles of a member."""

from __future__ import annotations

from enum import StrEnum


class Role(StrEnum):
    """Role of a member in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    STOPPED = "stopped"


__all__ = ["Role"]
