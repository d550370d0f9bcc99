"""Status of an availability zone."""

from __future__ import annotations

from enum import StrEnum


class ZoneStatus(StrEnum):
    """Whether tasks may start in an availability zone."""

    OPEN = "open"
    WITHDRAWN = "withdrawn"
    RETURNING = "returning"


__all__ = ["ZoneStatus"]
