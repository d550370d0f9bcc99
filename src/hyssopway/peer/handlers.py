"""Handlers of the calls between daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from hyssopway.agreement.messages import (
        AppendReply,
        AppendRequest,
        SnapshotChunk,
        VoteReply,
        VoteRequest,
    )

    from .credits import Credit, CreditReply, CreditRequest
    from .replies import ConfirmReply, ProposeReply, SnapshotPart, WatchReply


class PeerHandlers(Protocol):
    """Handlers of one daemon; an exception reaches the caller as `PeerUnreachableError`."""

    def handle_connection_lost(self, daemon: str) -> None:
        """Handles the end of a connection that another daemon opened."""
        ...

    async def vote(self, request: VoteRequest) -> VoteReply:
        """Answers a vote request."""
        ...

    async def append(self, request: AppendRequest) -> AppendReply:
        """Answers log entries or a heartbeat of a leader."""
        ...

    async def install_snapshot(self, chunk: SnapshotChunk) -> AppendReply:
        """Answers a chunk of a leader's snapshot."""
        ...

    async def propose(self, command: bytes) -> ProposeReply:
        """Proposes a command if this daemon leads."""
        ...

    async def confirm(self, daemon: str) -> ConfirmReply:
        """Returns the commit index and how recently a quorum confirmed this leader."""
        ...

    async def watch(self, *, daemon: str, from_index: int, wait_s: float) -> WatchReply:
        """Returns the entries after an index; waits up to `wait_s` for the first one."""
        ...

    async def read_snapshot(self, *, offset: int) -> SnapshotPart:
        """Returns a part of a snapshot of the state."""
        ...

    async def credits(self, request: CreditRequest) -> CreditReply:
        """Grants slot credits of the endpoints whose home is this daemon."""
        ...

    async def held_credits(self, *, daemon: str, endpoint: str) -> list[Credit]:
        """Returns the credits held here for an endpoint whose new home is the calling daemon."""
        ...

    async def exchange(self, *, topic: str, data: bytes) -> bytes:
        """Receives and returns in-memory state, such as load and summaries of endpoints."""
        ...


__all__ = ["PeerHandlers"]
