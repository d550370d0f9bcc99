"""Holder's record of a slot credit."""

from __future__ import annotations

from dataclasses import dataclass

from hyssopway.peer import Credit


@dataclass(slots=True, kw_only=True, eq=False)
class HeldCredit:
    """A credit that this daemon holds.

    Attributes:
        home: Daemon that issued it, or the endpoint's present home if that has changed.
        credit: Credit as issued by its home.
        expires_at: Local time in seconds at which the lease expires.
        taken_at: Local time in seconds at which the current request acquired it.
        recalled: Whether it must be returned after the current request.
    """

    home: str
    credit: Credit
    expires_at: float
    taken_at: float = 0.0
    recalled: bool = False


__all__ = ["HeldCredit"]
