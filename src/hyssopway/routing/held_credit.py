"""A credit at the daemon that holds it."""

from __future__ import annotations

from dataclasses import dataclass

from hyssopway.peer import Credit


@dataclass(slots=True, kw_only=True, eq=False)
class HeldCredit:
    """A credit and the daemon that handed it out.

    Attributes:
        home: Daemon that handed it out, or that took over the endpoint since.
        credit: The credit.
        expires_at: Local time at which the lease ends.
        taken_at: Local time at which the request in progress took it.
        recalled: Whether it must not be used for another request.
    """

    home: str
    credit: Credit
    expires_at: float
    taken_at: float = 0.0
    recalled: bool = False


__all__ = ["HeldCredit"]
