"""Handlers for calls of other nodes to a control node."""

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


class ControlHandlers:
    """Implements `PeerHandlers` with the calls that a control node supports.

    Attributes:
        member: Member of this node.
        exchange_handlers: Handlers of exchange calls by topic.
        assembler: Assembles a snapshot that the leader sends in chunks.
    """

    __slots__ = ("assembler", "exchange_handlers", "member")

    def __init__(
        self, *, member: Member, exchange_handlers: dict[str, Callable[[bytes], Awaitable[bytes]]]
    ) -> None:
        self.member = member
        self.exchange_handlers = exchange_handlers
        self.assembler = SnapshotAssembler()

    def note_connection_lost(self, daemon: str) -> None:
        """Suspects the leader when its connection is lost, because its process may have ended."""
        if daemon == self.member.leader_daemon:
            self.member.leader_suspicion.start()

    async def vote(self, request: VoteRequest) -> VoteReply:
        """Handles a vote request."""
        return await run_to_completion(answer_vote(member=self.member, request=request))

    async def append(self, request: AppendRequest) -> AppendReply:
        """Handles entries or a heartbeat from a leader."""
        return await run_to_completion(answer_append(member=self.member, request=request))

    async def install_snapshot(self, chunk: SnapshotChunk) -> AppendReply:
        """Handles a snapshot chunk from a leader."""
        return await run_to_completion(
            answer_snapshot(member=self.member, assembler=self.assembler, chunk=chunk)
        )

    async def exchange(self, *, topic: str, data: bytes) -> bytes:
        """Handles an exchange call."""
        return await self.exchange_handlers[topic](data)

    async def propose(self, command: bytes) -> ProposeReply:
        """Not supported: requests are relayed to the leader instead."""
        _refuse("propose")

    async def confirm(self, daemon: str) -> ConfirmReply:
        """Not supported: nodes without a log keep no replica."""
        _refuse("confirm")

    async def watch(self, *, daemon: str, from_index: int, wait_s: float) -> WatchReply:
        """Not supported: nodes without a log keep no replica."""
        _refuse("watch")

    async def read_snapshot(self, *, offset: int) -> SnapshotPart:
        """Not supported: nodes without a log keep no replica."""
        _refuse("read_snapshot")

    async def credits(self, request: CreditRequest) -> CreditReply:
        """Not supported: the leader sends orders to workers directly."""
        _refuse("credits")

    async def held_credits(self, *, daemon: str, endpoint: str) -> list[Credit]:
        """Not supported: the leader sends orders to workers directly."""
        _refuse("held_credits")


def _refuse(call: str) -> NoReturn:
    raise NotImplementedError(f"{call} is not supported by control nodes")


__all__ = ["ControlHandlers"]
