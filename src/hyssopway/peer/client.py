"""Client of another daemon's RPC interface, over Cap'n Proto."""

from __future__ import annotations

from typing import TYPE_CHECKING

from . import conversion
from .connection import PeerConnection
from .replies import SnapshotPart

if TYPE_CHECKING:
    from hyssopway.agreement.messages import (
        AppendReply,
        AppendRequest,
        SnapshotChunk,
        VoteReply,
        VoteRequest,
    )

    from .credits import Credit, CreditReply, CreditRequest
    from .replies import ConfirmReply, ProposeReply, WatchReply


class PeerClient(PeerConnection):
    """Connection to one daemon with the calls of consensus members."""

    __slots__ = ()

    async def vote(self, *, request: VoteRequest, timeout_s: float) -> VoteReply:
        """Requests a vote."""
        wire = conversion.vote_request_to_wire(request)
        response = await self.call(lambda remote: remote.vote(wire), timeout_s=timeout_s)
        return conversion.vote_reply_from_wire(response.reply)

    async def append(self, *, request: AppendRequest, timeout_s: float) -> AppendReply:
        """Sends log entries or a heartbeat."""
        wire = conversion.append_request_to_wire(request)
        response = await self.call(lambda remote: remote.append(wire), timeout_s=timeout_s)
        return conversion.append_reply_from_wire(response.reply)

    async def install_snapshot(self, *, chunk: SnapshotChunk, timeout_s: float) -> AppendReply:
        """Sends a chunk of a snapshot."""
        wire = conversion.snapshot_chunk_to_wire(chunk)
        response = await self.call(lambda remote: remote.installSnapshot(wire), timeout_s=timeout_s)
        return conversion.append_reply_from_wire(response.reply)

    async def propose(self, *, command: bytes, timeout_s: float) -> ProposeReply:
        """Proposes a command."""
        response = await self.call(lambda remote: remote.propose(command), timeout_s=timeout_s)
        return conversion.propose_reply_from_wire(response.reply)

    async def confirm(self, *, timeout_s: float) -> ConfirmReply:
        """Asks the leader to confirm its leadership and its commit index."""
        response = await self.call(lambda remote: remote.confirm(self.own_name), timeout_s=timeout_s)
        return conversion.confirm_reply_from_wire(response.reply)

    async def watch(self, *, from_index: int, wait_s: float, timeout_s: float) -> WatchReply:
        """Waits up to `wait_s` for entries after an index."""
        wait_ms = round(wait_s * 1000)
        response = await self.call(
            lambda remote: remote.watch(self.own_name, from_index, wait_ms), timeout_s=timeout_s
        )
        return conversion.watch_reply_from_wire(response.reply)

    async def read_snapshot(self, *, offset: int, timeout_s: float) -> SnapshotPart:
        """Reads a part of a snapshot of the state."""
        response = await self.call(lambda remote: remote.readSnapshot(offset), timeout_s=timeout_s)
        return SnapshotPart(data=bytes(response.data), index=response.index, total=response.total)

    async def credits(self, *, request: CreditRequest, timeout_s: float) -> CreditReply:
        """Requests slot credits."""
        wire = conversion.credit_request_to_wire(request)
        response = await self.call(lambda remote: remote.credits(wire), timeout_s=timeout_s)
        return conversion.credit_reply_from_wire(response.reply)

    async def held_credits(self, *, endpoint: str, timeout_s: float) -> list[Credit]:
        """Lists the credits that the daemon holds for an endpoint whose new home is the caller."""
        response = await self.call(
            lambda remote: remote.heldCredits(endpoint, self.own_name), timeout_s=timeout_s
        )
        return [conversion.credit_from_wire(credit) for credit in response.credits]


__all__ = ["PeerClient"]
