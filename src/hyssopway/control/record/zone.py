"""An availability zone."""

from __future__ import annotations

from dataclasses import dataclass

from .zone_status import ZoneStatus


@dataclass(slots=True, kw_only=True)
class Zone:
    """An availability zone and whether tasks may start there.

    Attributes:
        name: Name.
        status: Whether tasks may start there.
        epoch: Counts the changes of status.
        changed_by: Operator of the last change.
    """

    name: str
    status: ZoneStatus = ZoneStatus.OPEN
    epoch: int = 0
    changed_by: str = ""


__all__ = ["Zone"]
