"""Applies commands that withdraw and return availability zones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Ok, Result

from hyssopway.control.change import Change
from hyssopway.result import ResultCode

from .refusal import refuse

if TYPE_CHECKING:
    from hyssopway.control.command import SetZone
    from hyssopway.control.state import ControlState
    from hyssopway.result import Failure


def set_zone(state: ControlState, command: SetZone) -> Result[Change, Failure]:
    """Changes the status of an availability zone."""
    zone = state.tables.zones.get(command.zone)
    if zone is None:
        known = ", ".join(sorted(state.tables.zones)) or "none"
        return refuse(ResultCode.UNKNOWN_ZONE, f"zone {command.zone!r} does not exist; known zones: {known}")
    if command.expected_epoch is not None and command.expected_epoch != zone.epoch:
        message = (
            f"zone {zone.name} is {zone.status} at epoch {zone.epoch}, last changed by {zone.changed_by}"
        )
        return refuse(ResultCode.GENERATION_CONFLICT, message)
    if zone.status is not command.status:
        zone.status = command.status
        zone.epoch += 1
        zone.changed_by = command.operator
    return Ok(Change(generation=zone.epoch, reference=zone.name))


__all__ = ["set_zone"]
