"""Queue entry of a request that waits for a slot."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from .held_credit import HeldCredit


@dataclass(slots=True, kw_only=True, eq=False)
class Waiter:
    """A request that waits for a credit.

    Attributes:
        future: Resolves to the credit.
        give_up_at: Local time in seconds after which too little time remains to serve the request.
        avoided: Endpoints that failed an earlier attempt of the request.
    """

    future: asyncio.Future[HeldCredit]
    give_up_at: float
    avoided: frozenset[str] = frozenset()


__all__ = ["Waiter"]
