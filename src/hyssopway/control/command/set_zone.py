"""Withdraws or returns an availability zone."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from hyssopway.control.record.zone_status import ZoneStatus


@dataclass(frozen=True, slots=True, kw_only=True)
class SetZone:
    """Changes whether tasks may start in an availability zone.

    Attributes:
        request_id: ID of the request; a retry has the same one.
        operator: Operator who sent the request.
        zone: Availability zone.
        status: New status.
        expected_epoch: Epoch of the zone that the operator read; None to skip the check.
    """

    request_id: str
    operator: str
    zone: str
    status: ZoneStatus
    expected_epoch: int | None = None
    kind: Literal["set_zone"] = "set_zone"


__all__ = ["SetZone"]
