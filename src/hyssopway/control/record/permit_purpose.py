"""What a VM is stopped for."""

from __future__ import annotations

from enum import StrEnum


class PermitPurpose(StrEnum):
    """What a disruption permit is for."""

    MAINTENANCE = "maintenance"
    MOVE = "move"
    WITHDRAWAL = "withdrawal"
    OPERATOR = "operator"


__all__ = ["PermitPurpose"]
