"""Replication progress of the other members, as tracked by the leader."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class Progress:
    """Progress of the replication to one member.

    Attributes:
        member_id: Id of the member.
        next_index: Index of the next entry to send.
        match_index: Last index known to be durable on the member.
        sent_at: Local time at which the last message was sent.
        acked_at: Local time at which the last acknowledged message was sent.
        supported_version: Version that the member reported in reply to that message; None before its first reply in this
            term.
        wake: Set when there is something to send.
    """

    member_id: str
    next_index: int
    match_index: int = 0
    sent_at: float = float("-inf")
    acked_at: float = float("-inf")
    supported_version: int | None = None
    wake: asyncio.Event = field(default_factory=asyncio.Event)


__all__ = ["Progress"]
