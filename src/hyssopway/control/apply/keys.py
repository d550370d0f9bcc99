"""Applies commands that grant and withdraw API keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Ok, Result

from hyssopway.control.change import Change
from hyssopway.control.record import Key
from hyssopway.result import ResultCode

from .refusal import refuse

if TYPE_CHECKING:
    from hyssopway.control.command import GrantKey, WithdrawKey
    from hyssopway.control.state import ControlState
    from hyssopway.result import Failure


def grant_key(state: ControlState, command: GrantKey) -> Result[Change, Failure]:
    """Adds a valid key of a team."""
    document = state.document()
    if document is None or document.team(name=command.team) is None:
        return refuse(ResultCode.UNKNOWN_TEAM, f"team {command.team!r} is not in the production document")
    if command.key_id in state.tables.keys:
        return refuse(ResultCode.GENERATION_CONFLICT, f"key {command.key_id!r} exists already; use a new id")
    state.tables.keys[command.key_id] = Key(
        key_id=command.key_id,
        key_hash=command.key_hash,
        team=command.team,
        granted_by=command.operator,
        granted_ms=state.tables.wall_ms,
    )
    return Ok(Change(generation=1, reference=command.key_id))


def withdraw_key(state: ControlState, command: WithdrawKey) -> Result[Change, Failure]:
    """Makes a key invalid; withdrawing it again changes nothing."""
    key = state.tables.keys.get(command.key_id)
    if key is None:
        return refuse(ResultCode.KEY_INVALID, f"key {command.key_id!r} does not exist")
    if not key.withdrawn_by:
        key.withdrawn_by = command.operator
        key.withdrawn_ms = state.tables.wall_ms
    return Ok(Change(generation=2, reference=command.key_id))


__all__ = ["grant_key", "withdraw_key"]
