"""Withdraws or restores an availability zone."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from hyssopway.control.record.zone_status import ZoneStatus


@dataclass(frozen=True, slots=True, kw_only=True)
class SetZone:
    """Changes whether tasks may start in an availability zone.

    Attributes:
        request_id: Identity of the request over resends.
        operator: Who asked.
        zone: Availability zone.
        status: New status.
        expected_epoch: Epoch of the zone that the operator saw; None skips the comparison.
    """

    request_id: str
    operator: str
    zone: str
    status: ZoneStatus
    expected_epoch: int | None = None
    kind: Literal["set_zone"] = "set_zone"


__all__ = ["SetZone"]
