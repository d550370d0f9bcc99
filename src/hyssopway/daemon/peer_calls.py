"""Handles calls of other daemons."""

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
        member: Control member; None on a daemon without a data folder.
        proposer: Proposes commands to the log; None on a daemon without a data folder.
        replica: Local copy of the replicated state.
        freshness: Age of the last confirmation that the replica is current.
        ledger: Slot credits of endpoints whose home is this daemon.
        router: Slot credits held by this daemon.
        contacts: Local time of the last confirm or watch call of each daemon.
        reported_contacts: Local time of the last contact of each daemon that this daemon has reported to the
            leader; None if watchers are confirmed without such reports.
        confirmed_indexes: Largest index that this daemon confirmed to each daemon while it was the leader.
        undecided_ends: Run ends that are not decided yet, by home; such a home gets no confirmation.
        exchange_handlers: Handlers of exchanges of in-memory state, by topic.
        snapshot_assembler: Collects the chunks of a snapshot that the leader sends.
    """

    __slots__ = (
        "confirmed_indexes",
        "contacts",
        "exchange_handlers",
        "freshness",
        "ledger",
        "member",
        "proposer",
        "replica",
        "reported_contacts",
        "router",
        "snapshot_assembler",
        "undecided_ends",
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
        self.confirmed_indexes: dict[str, int] = {}
        self.undecided_ends: dict[str, list[EndRun]] = {}
        self.router = router
        self.exchange_handlers: dict[str, Callable[[Any], Any]] = {}
        self.snapshot_assembler = SnapshotAssembler()

    def handle_connection_lost(self, daemon: str) -> None:
        """Suspects the leader if its connection ends, because its process may have ended too."""
        if self.member is not None and daemon == self.member.leader_daemon:
            self.member.leader_suspicion.start()

    async def vote(self, request: VoteRequest) -> VoteReply:
        """Answers a vote request."""
        return await run_to_completion(answer_vote(member=self._member(), request=request))

    async def append(self, request: AppendRequest) -> AppendReply:
        """Handles an append request of the leader."""
        return await run_to_completion(answer_append(member=self._member(), request=request))

    async def install_snapshot(self, chunk: SnapshotChunk) -> AppendReply:
        """Handles a chunk of a snapshot that the leader sends."""
        return await run_to_completion(
            answer_snapshot(member=self._member(), assembler=self.snapshot_assembler, chunk=chunk)
        )

    async def propose(self, command: bytes) -> ProposeReply:
        """Proposes a command if this daemon is the leader.

        Raises:
            TimeoutError: The proposal failed although this daemon leads; its outcome may be unknown.
        """
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
        """Returns the commit index and the age in seconds of the last quorum acknowledgement."""
        member = self._member()
        self.contacts[daemon] = self.freshness.clock()
        if daemon in self.undecided_ends:
            return ConfirmReply(commit_index=member.commit_index, confirmed_age_s=inf)
        age_s = member.clock() - member.quorum_acked_at()
        if isfinite(age_s):
            self.confirmed_indexes[daemon] = member.commit_index
        return ConfirmReply(commit_index=member.commit_index, confirmed_age_s=age_s)

    async def watch(self, *, daemon: str, from_index: int, wait_s: float) -> WatchReply:
        """Returns the entries after an index and waits up to `wait_s` seconds for the first."""
        started = self.freshness.clock()
        self.contacts[daemon] = started
        await self.replica.wait_applied_past(from_index, timeout_s=wait_s)
        waited_s = self.freshness.clock() - started
        # The answer confirms the watcher up to this time, not up to the time of its request.
        self.contacts[daemon] = self.freshness.clock()
        entries = self.replica.entries_after(from_index)
        if entries is None or sum(map(len, entries)) > MAX_WATCH_ENTRIES_BYTES:
            index, data = self.replica.cached_snapshot(offset=0)
            return WatchReply(applied_index=index, snapshot_size=len(data))
        return WatchReply(
            first_index=from_index + 1,
            entries=entries,
            applied_index=self.replica.applied_index,
            confirmed_age_s=max(self.freshness.age_s, self._reported_contact_age_s(daemon)),
            waited_s=waited_s,
        )

    async def read_snapshot(self, *, offset: int) -> SnapshotPart:
        """Returns a part of a snapshot of the state."""
        index, data = self.replica.cached_snapshot(offset=offset)
        return SnapshotPart(data=data[offset : offset + SNAPSHOT_PART_BYTES], index=index, total=len(data))

    async def credits(self, request: CreditRequest) -> CreditReply:
        """Grants slot credits of endpoints whose home is this daemon."""
        return self.ledger.handle_request(request)

    async def held_credits(self, *, daemon: str, endpoint: str) -> list[Credit]:
        """Returns the credits held here for an endpoint whose home is now the calling daemon."""
        return self.router.reassign_home(endpoint=endpoint, home=daemon)

    async def exchange(self, *, topic: str, data: bytes) -> bytes:
        """Passes in-memory state to the handler of a topic and returns its answer, both as JSON."""
        answer = self.exchange_handlers[topic](from_json(data))
        if isawaitable(answer):
            answer = await answer
        return to_json(answer, inf_nan_mode="null")

    def _reported_contact_age_s(self, daemon: str) -> float:
        """Returns the age in seconds of the last contact of a watcher that was reported to the leader.

        The leader ends the runs of a home that has been out of contact for too long. A watcher must not be
        confirmed beyond its last reported contact, or it would renew leases of runs that are placed again.
        """
        if self.reported_contacts is None or (self.member is not None and self.member.is_leader):
            return 0.0
        return self.freshness.clock() - self.reported_contacts.get(daemon, -inf)

    def _member(self) -> Member:
        if self.member is None:
            raise RuntimeError("this daemon has no control member")
        return self.member


__all__ = ["PeerCallHandler"]
