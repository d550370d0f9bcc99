"""Answers calls of other nodes on a control node."""

from __future__ import annotations

from typing import TYPE_CHECKING, NoReturn

from hyssopway.agreement import (
    SnapshotAssembler,
    answer_append,
    answer_snapshot,
    answer_vote,
    run_to_completion,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hyssopway.agreement import Member
    from hyssopway.agreement.messages import (
        AppendReply,
        AppendRequest,
        SnapshotChunk,
        VoteReply,
        VoteRequest,
    )
    from hyssopway.peer import (
        ConfirmReply,
        Credit,
        CreditReply,
        CreditRequest,
        ProposeReply,
        SnapshotPart,
        WatchReply,
    )


class ControlCalls:
    """Implements `PeerHandlers` with the calls that a control node serves.

    Attributes:
        member: Own member.
        exchanges: Answers to exchanges by topic.
        parts: Snapshot of a leader while it arrives.
    """

    __slots__ = ("assembler", "exchanges", "member")

    def __init__(self, *, member: Member, exchanges: dict[str, Callable[[bytes], Awaitable[bytes]]]) -> None:
        self.member = member
        self.exchanges = exchanges
        self.assembler = SnapshotAssembler()

    def handle_connection_lost(self, daemon: str) -> None:
        """Doubts the leader when its connection ends: its process may have ended with it."""
        if daemon == self.member.leader_daemon:
            self.member.leader_suspicion.start()

    async def vote(self, request: VoteRequest) -> VoteReply:
        """Answers a vote request."""
        return await run_to_completion(answer_vote(member=self.member, request=request))

    async def append(self, request: AppendRequest) -> AppendReply:
        """Takes entries of a leader."""
        return await run_to_completion(answer_append(member=self.member, request=request))

    async def install_snapshot(self, chunk: SnapshotChunk) -> AppendReply:
        """Takes a part of a snapshot."""
        return await run_to_completion(
            answer_snapshot(member=self.member, assembler=self.assembler, chunk=chunk)
        )

    async def exchange(self, *, topic: str, data: bytes) -> bytes:
        """Answers an exchange."""
        return await self.exchanges[topic](data)

    async def propose(self, command: bytes) -> ProposeReply:
        """Is not served: requests are relayed instead."""
        _refuse("propose")

    async def confirm(self, daemon: str) -> ConfirmReply:
        """Is not served: nodes without a log hold no replica."""
        _refuse("confirm")

    async def watch(self, *, daemon: str, from_index: int, wait_s: float) -> WatchReply:
        """Is not served: nodes without a log hold no replica."""
        _refuse("watch")

    async def read_snapshot(self, *, offset: int) -> SnapshotPart:
        """Is not served: nodes without a log hold no replica."""
        _refuse("read_snapshot")

    async def credits(self, request: CreditRequest) -> CreditReply:
        """Is not served: workers are ordered by the leader."""
        _refuse("credits")

    async def held_credits(self, *, daemon: str, endpoint: str) -> list[Credit]:
        """Is not served: workers are ordered by the leader."""
        _refuse("held_credits")


def _refuse(call: str) -> NoReturn:
    raise NotImplementedError(f"{call} is not served by this kind of node")


__all__ = ["ControlCalls"]
