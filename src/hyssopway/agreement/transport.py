"""Interface for calls between members."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from .messages import AppendReply, AppendRequest, SnapshotChunk, VoteReply, VoteRequest


class Transport(Protocol):
    """Sends messages to the member that a daemon hosts.

    Every call raises `OSError` if the daemon does not reply in time.
    """

    async def vote(self, *, daemon: str, request: VoteRequest, timeout_s: float) -> VoteReply:
        """Requests a vote or a pre-vote."""
        ...

    async def append(self, *, daemon: str, request: AppendRequest, timeout_s: float) -> AppendReply:
        """Sends entries or a heartbeat."""
        ...

    async def install_snapshot(self, *, daemon: str, chunk: SnapshotChunk, timeout_s: float) -> AppendReply:
        """Sends a snapshot chunk."""
        ...


__all__ = ["Transport"]
