"""Calls from one member to another."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from .messages import AppendReply, AppendRequest, SnapshotChunk, VoteReply, VoteRequest


class Transport(Protocol):
    """Sends messages to the member that a daemon carries.

    Every call raises `OSError` when the daemon cannot be reached in time.
    """

    async def vote(self, *, daemon: str, request: VoteRequest, timeout_s: float) -> VoteReply:
        """Asks for a vote."""
        ...

    async def append(self, *, daemon: str, request: AppendRequest, timeout_s: float) -> AppendReply:
        """Sends entries or a heartbeat."""
        ...

    async def install_snapshot(self, *, daemon: str, chunk: SnapshotChunk, timeout_s: float) -> AppendReply:
        """Sends a part of a snapshot."""
        ...


__all__ = ["Transport"]
