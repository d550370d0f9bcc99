"""Withdraws a key."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawKey:
    """Makes a key permanently invalid.

    Attributes:
        request_id: ID of the request; a retry has the same one.
        operator: Operator who sent the request.
        key_id: Public part of the key.
    """

    request_id: str
    operator: str
    key_id: str
    kind: Literal["withdraw_key"] = "withdraw_key"


__all__ = ["WithdrawKey"]
