"""What a daemon answers to its peers."""

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
    """Calls that a daemon answers; an exception reaches the caller as an unreachable peer."""

    def handle_connection_lost(self, daemon: str) -> None:
        """Takes in that a connection of another daemon has ended."""
        ...

    async def vote(self, request: VoteRequest) -> VoteReply:
        """Answers a vote request."""
        ...

    async def append(self, request: AppendRequest) -> AppendReply:
        """Takes entries of a leader."""
        ...

    async def install_snapshot(self, chunk: SnapshotChunk) -> AppendReply:
        """Takes a part of a snapshot."""
        ...

    async def propose(self, command: bytes) -> ProposeReply:
        """Proposes a command if this daemon leads."""
        ...

    async def confirm(self, daemon: str) -> ConfirmReply:
        """Says how fresh the leader's knowledge is."""
        ...

    async def watch(self, *, daemon: str, from_index: int, wait_s: float) -> WatchReply:
        """Returns entries behind an index, waiting for the first."""
        ...

    async def read_snapshot(self, *, offset: int) -> SnapshotPart:
        """Returns a part of the state."""
        ...

    async def credits(self, request: CreditRequest) -> CreditReply:
        """Hands out slot credits of endpoints that announced themselves here."""
        ...

    async def held_credits(self, *, daemon: str, endpoint: str) -> list[Credit]:
        """Returns the credits held here for an endpoint whose home is now the daemon that asks."""
        ...

    async def exchange(self, *, topic: str, data: bytes) -> bytes:
        """Takes and returns soft state, such as load and summaries of endpoints."""
        ...


__all__ = ["PeerHandlers"]
