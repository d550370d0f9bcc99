"""Answers calls of other daemons."""

from __future__ import annotations

from inspect import isawaitable
from math import inf, isfinite
from typing import TYPE_CHECKING, Any

from expression import Result
from pydantic_core import from_json, to_json

from hyssopway.agreement import (
    SnapshotAssembler,
    answer_append,
    answer_snapshot,
    answer_vote,
    run_to_completion,
)
from hyssopway.control import encode_outcome
from hyssopway.peer import SNAPSHOT_PART_BYTES, ConfirmReply, ProposeReply, SnapshotPart, WatchReply
from hyssopway.result import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.agreement import Member
    from hyssopway.agreement.messages import (
        AppendReply,
        AppendRequest,
        SnapshotChunk,
        VoteReply,
        VoteRequest,
    )
    from hyssopway.control.command import EndRun
    from hyssopway.peer import Credit, CreditReply, CreditRequest
    from hyssopway.replica import Freshness, Proposer, Replica
    from hyssopway.routing import CreditLedger, Router

PROPOSE_TIMEOUT_S = 3.0
MAX_WATCH_ENTRIES_BYTES = 4 * 1024 * 1024


class PeerCallHandler:
    """Implements `PeerHandlers` for one daemon.

    Attributes:
        member: Control member; None without a disk.
        proposer: Way into the log; None without a disk.
        replica: Agreed state.
        freshness: How current the replica is.
        ledger: Slot credits of endpoints whose home is this daemon.
        router: Slot credits held by this daemon.
        contacts: Local time of the last confirm or watch call of each daemon.
        reported_contacts: Local time of the last contact of each daemon that the leader has learned of from here; None
            where watchers are confirmed without that.
        covered: Largest index that this daemon confirmed to each daemon as leader.
        withheld: Daemons that get no confirmation while runs placed there are taken back.
        exchanges: Answers to exchanges of soft state by topic.
        parts: Snapshot of a leader while it arrives.
    """

    __slots__ = (
        "contacts",
        "covered",
        "exchanges",
        "freshness",
        "ledger",
        "member",
        "parts",
        "proposer",
        "replica",
        "router",
        "reported_contacts",
        "withheld",
    )

    def __init__(
        self,
        *,
        member: Member | None,
        proposer: Proposer | None,
        replica: Replica,
        freshness: Freshness,
        ledger: CreditLedger,
        router: Router,
    ) -> None:
        self.member = member
        self.proposer = proposer
        self.replica = replica
        self.freshness = freshness
        self.ledger = ledger
        self.contacts: dict[str, float] = {}
        self.reported_contacts: dict[str, float] | None = None
        self.covered: dict[str, int] = {}
        self.withheld: dict[str, list[EndRun]] = {}
        self.router = router
        self.exchanges: dict[str, Callable[[Any], Any]] = {}
        self.parts = SnapshotAssembler()

    def note_connection_lost(self, daemon: str) -> None:
        """Doubts the leader when its connection ends: its process may have ended with it."""
        if self.member is not None and daemon == self.member.leader_daemon:
            self.member.leader_suspicion.start()

    async def vote(self, request: VoteRequest) -> VoteReply:
        """Answers a vote request."""
        return await run_to_completion(answer_vote(member=self._member(), request=request))

    async def append(self, request: AppendRequest) -> AppendReply:
        """Takes entries of a leader."""
        return await run_to_completion(answer_append(member=self._member(), request=request))

    async def install_snapshot(self, chunk: SnapshotChunk) -> AppendReply:
        """Takes a part of a snapshot."""
        return await run_to_completion(
            answer_snapshot(member=self._member(), assembler=self.parts, chunk=chunk)
        )

    async def propose(self, command: bytes) -> ProposeReply:
        """Proposes a command if this daemon leads."""
        if self.proposer is None:
            return ProposeReply(accepted=False)
        match await self.proposer.propose(command=command, timeout_s=PROPOSE_TIMEOUT_S):
            case Result(tag="ok", ok=outcome):
                return ProposeReply(accepted=True, outcome=encode_outcome(outcome))
            case Result(error=failure) if failure.code is ResultCode.NOT_LEADER:
                return ProposeReply(accepted=False, leader=self.proposer.member.leader_daemon)
            case Result(error=failure):
                raise TimeoutError(failure.message)

    async def confirm(self, daemon: str) -> ConfirmReply:
        """Says how fresh the leader's knowledge is."""
        member = self._member()
        self.contacts[daemon] = self.freshness.clock()
        if daemon in self.withheld:
            return ConfirmReply(commit_index=member.commit_index, confirmed_age_s=inf)
        age_s = member.clock() - member.quorum_acked_at()
        if isfinite(age_s):
            self.covered[daemon] = member.commit_index
        return ConfirmReply(commit_index=member.commit_index, confirmed_age_s=age_s)

    async def watch(self, *, daemon: str, from_index: int, wait_s: float) -> WatchReply:
        """Returns entries behind an index, waiting for the first."""
        started = self.freshness.clock()
        self.contacts[daemon] = started
        await self.replica.wait_beyond(from_index, timeout_s=wait_s)
        waited_s = self.freshness.clock() - started
        # The answer confirms the watcher up to now, not up to its question.
        self.contacts[daemon] = self.freshness.clock()
        entries = self.replica.entries_after(from_index)
        if entries is None or sum(map(len, entries)) > MAX_WATCH_ENTRIES_BYTES:
            index, data = self.replica.cached_snapshot(offset=0)
            return WatchReply(applied_index=index, snapshot_size=len(data))
        return WatchReply(
            first_index=from_index + 1,
            entries=entries,
            applied_index=self.replica.applied_index,
            confirmed_age_s=max(self.freshness.age_s, self._vouched_age_s(daemon)),
            waited_s=waited_s,
        )

    async def read_snapshot(self, *, offset: int) -> SnapshotPart:
        """Returns a part of the state."""
        index, data = self.replica.cached_snapshot(offset=offset)
        return SnapshotPart(data=data[offset : offset + SNAPSHOT_PART_BYTES], index=index, total=len(data))

    async def credits(self, request: CreditRequest) -> CreditReply:
        """Hands out slot credits of endpoints that announced themselves here."""
        return self.ledger.answer(request)

    async def held_credits(self, *, daemon: str, endpoint: str) -> list[Credit]:
        """Returns the credits held here for an endpoint whose home is now the daemon that asks."""
        return self.router.hand_over(endpoint=endpoint, home=daemon)

    async def exchange(self, *, topic: str, data: bytes) -> bytes:
        """Takes and returns soft state."""
        answer = self.exchanges[topic](from_json(data))
        if isawaitable(answer):
            answer = await answer
        return to_json(answer, inf_nan_mode="null")

    def _vouched_age_s(self, daemon: str) -> float:
        """Returns the age of the last contact of a watcher that the leader knows of.

        The leader ends the runs of a home that it has not heard of for long. A watcher must not be
        confirmed for later than that, or it would renew leases of runs that are placed again.
        """
        if self.reported_contacts is None or (self.member is not None and self.member.is_leader):
            return 0.0
        return self.freshness.clock() - self.reported_contacts.get(daemon, -inf)

    def _member(self) -> Member:
        if self.member is None:
            raise RuntimeError("this daemon carries no control member")
        return self.member


__all__ = ["PeerCallHandler"]
