"""Grants a key to a team."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantKey:
    """Makes a key valid for a team.

    Attributes:
        request_id: ID of the request; a retry has the same one.
        operator: Operator who sent the request.
        key_id: Public part of the key.
        key_hash: SHA-256 of the secret part, in hexadecimal.
        team: Team that the key belongs to.
    """

    request_id: str
    operator: str
    key_id: str
    key_hash: str
    team: str
    kind: Literal["grant_key"] = "grant_key"


__all__ = ["GrantKey"]
