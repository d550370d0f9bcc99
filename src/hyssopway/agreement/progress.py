"""What a leader knows of another member."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class Progress:
    """Replication to one member.

    Attributes:
        member_id: The member.
        next_index: First index to send next.
        match_index: Last index known to be durable there.
        sent_at: Local time at which the last message was sent.
        acked_at: Local time at which the last answered message was sent.
        wake: Set when there is something to send.
    """

    member_id: str
    next_index: int
    match_index: int = 0
    sent_at: float = float("-inf")
    acked_at: float = float("-inf")
    wake: asyncio.Event = field(default_factory=asyncio.Event)


__all__ = ["Progress"]
