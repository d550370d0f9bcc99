"""Purposes of a planned stop."""

from __future__ import annotations

from enum import StrEnum


class PermitPurpose(StrEnum):
    """Purpose of a disruption permit."""

    MAINTENANCE = "maintenance"
    MOVE = "move"
    WITHDRAWAL = "withdrawal"
    OPERATOR = "operator"


__all__ = ["PermitPurpose"]
