"""A key of a team."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class Key:
    """A key; only the hash of its secret is kept.

    Attributes:
        key_id: Public part.
        key_hash: SHA-256 of the secret part, in hexadecimal.
        team: Team that it stands for.
        granted_by: Operator.
        granted_ms: Wall-clock time of the grant, for display.
        withdrawn_by: Operator; empty while the key is valid.
        withdrawn_ms: Wall-clock time of the withdrawal, for display.
    """

    key_id: str
    key_hash: str
    team: str
    granted_by: str
    granted_ms: int
    withdrawn_by: str = ""
    withdrawn_ms: int = 0


__all__ = ["Key"]
