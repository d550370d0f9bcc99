"""Validation of the key of a request."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from hyssopway.result import Failure, ResultCode

from .format import hash_secret, split_key

if TYPE_CHECKING:
    from hyssopway.control.record import Key
    from hyssopway.replica import Freshness, Replica


def check_key(*, text: str, replica: Replica, freshness: Freshness) -> Result[Key, Failure]:
    """Looks up and validates a key.

    Returns:
        The record of the key, KEY_MISSING, KEY_INVALID, or KEY_UNCONFIRMED when the replica is too old to
        tell whether the key was withdrawn.
    """
    if not text:
        message = "this needs a team's key; send it as `Authorization: Bearer KEY`"
        return Error(Failure(code=ResultCode.KEY_MISSING, message=message))
    if not freshness.is_valid:
        message = "keys cannot be confirmed here at the moment; use another entry VM or retry later"
        return Error(Failure(code=ResultCode.KEY_UNCONFIRMED, message=message, retry_after_s=1.0))
    parts = split_key(text)
    key = replica.state.tables.keys.get(parts[0]) if parts else None
    expected = key.key_hash if key else hash_secret("")
    matches = hmac.compare_digest(hash_secret(parts[1]) if parts else "", expected)
    if key is None or not matches or key.withdrawn_by:
        return Error(Failure(code=ResultCode.KEY_INVALID, message="the key is not valid or was withdrawn"))
    return Ok(key)


__all__ = ["check_key"]
