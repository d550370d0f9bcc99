"""An availability zone."""

from __future__ import annotations

from dataclasses import dataclass

from .zone_status import ZoneStatus


@dataclass(slots=True, kw_only=True)
class Zone:
    """An availability zone and whether tasks may start there.

    Attributes:
        name: Name of the zone.
        status: Whether tasks may start there.
        epoch: Number that rises with each change of status.
        changed_by: Operator who made the last change.
    """

    name: str
    status: ZoneStatus = ZoneStatus.OPEN
    epoch: int = 0
    changed_by: str = ""


__all__ = ["Zone"]
