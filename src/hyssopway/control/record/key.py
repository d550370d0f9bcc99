"""An API key of a team."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class Key:
    """An API key; only the hash of its secret part is stored.

    Attributes:
        key_id: Public part.
        key_hash: SHA-256 of the secret part, in hexadecimal.
        team: Team that the key belongs to.
        granted_by: Operator who granted it.
        granted_ms: Wall-clock time of the grant in milliseconds, for display.
        withdrawn_by: Operator who withdrew it; empty while the key is valid.
        withdrawn_ms: Wall-clock time of the withdrawal in milliseconds, for display.
    """

    key_id: str
    key_hash: str
    team: str
    granted_by: str
    granted_ms: int
    withdrawn_by: str = ""
    withdrawn_ms: int = 0


__all__ = ["Key"]
