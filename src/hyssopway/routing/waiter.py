"""A request that waits for a slot."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from .held_credit import HeldCredit


@dataclass(slots=True, kw_only=True, eq=False)
class Waiter:
    """A place in a queue.

    Attributes:
        future: Receives the credit.
        give_up_at: Local time after which the request can no longer be done.
        avoided: Endpoints that failed an earlier try of the request.
    """

    future: asyncio.Future[HeldCredit]
    give_up_at: float
    avoided: frozenset[str] = frozenset()


__all__ = ["Waiter"]
