"""Converts between data classes and Cap'n Proto messages."""

from __future__ import annotations

import math
from typing import Any

from hyssopway.agreement.entry import Entry, EntryKind
from hyssopway.agreement.messages import AppendReply, AppendRequest, SnapshotChunk, VoteReply, VoteRequest

from .credits import Credit, CreditReply, CreditRequest
from .replies import ConfirmReply, ProposeReply, WatchReply
from .schema import SCHEMA

_INFINITE_AGE_MS = -1


def vote_request_to_wire(request: VoteRequest) -> Any:
    """Converts a vote request."""
    return SCHEMA.VoteRequest.new_message(
        term=request.term,
        candidate=request.candidate,
        lastIndex=request.last_index,
        lastTerm=request.last_term,
        preVote=request.pre_vote,
        target=request.target,
    )


def vote_request_from_wire(wire: Any) -> VoteRequest:
    """Converts a vote request."""
    return VoteRequest(
        term=wire.term,
        candidate=str(wire.candidate),
        last_index=wire.lastIndex,
        last_term=wire.lastTerm,
        pre_vote=wire.preVote,
        target=str(wire.target),
    )


def vote_reply_to_wire(reply: VoteReply) -> Any:
    """Converts the reply to a vote request."""
    return SCHEMA.VoteReply.new_message(term=reply.term, granted=reply.granted)


def vote_reply_from_wire(wire: Any) -> VoteReply:
    """Converts the reply to a vote request."""
    return VoteReply(term=wire.term, granted=wire.granted)


def append_request_to_wire(request: AppendRequest) -> Any:
    """Converts an append request or a heartbeat."""
    return SCHEMA.AppendRequest.new_message(
        term=request.term,
        leader=request.leader,
        target=request.target,
        previousIndex=request.previous_index,
        previousTerm=request.previous_term,
        commitIndex=request.commit_index,
        entries=[{"term": e.term, "kind": int(e.kind), "data": e.data} for e in request.entries],
    )


def append_request_from_wire(wire: Any) -> AppendRequest:
    """Converts an append request or a heartbeat."""
    return AppendRequest(
        term=wire.term,
        leader=str(wire.leader),
        target=str(wire.target),
        previous_index=wire.previousIndex,
        previous_term=wire.previousTerm,
        commit_index=wire.commitIndex,
        entries=tuple(Entry(term=e.term, kind=EntryKind(e.kind), data=bytes(e.data)) for e in wire.entries),
    )


def append_reply_to_wire(reply: AppendReply) -> Any:
    """Converts the reply to an append request."""
    return SCHEMA.AppendReply.new_message(
        term=reply.term,
        success=reply.success,
        matchIndex=reply.match_index,
        member=reply.member,
        supportedVersion=reply.supported_version,
    )


def append_reply_from_wire(wire: Any) -> AppendReply:
    """Converts the reply to an append request."""
    return AppendReply(
        term=wire.term,
        success=wire.success,
        match_index=wire.matchIndex,
        member=str(wire.member),
        supported_version=wire.supportedVersion,
    )


def snapshot_chunk_to_wire(chunk: SnapshotChunk) -> Any:
    """Converts a chunk of a snapshot."""
    return SCHEMA.SnapshotChunk.new_message(
        term=chunk.term,
        leader=chunk.leader,
        index=chunk.index,
        indexTerm=chunk.index_term,
        configuration=chunk.configuration,
        offset=chunk.offset,
        data=chunk.data,
        last=chunk.last,
    )


def snapshot_chunk_from_wire(wire: Any) -> SnapshotChunk:
    """Converts a chunk of a snapshot."""
    return SnapshotChunk(
        term=wire.term,
        leader=str(wire.leader),
        index=wire.index,
        index_term=wire.indexTerm,
        configuration=bytes(wire.configuration),
        offset=wire.offset,
        data=bytes(wire.data),
        last=wire.last,
    )


def propose_reply_to_wire(reply: ProposeReply) -> Any:
    """Converts the reply to a proposed command."""
    return SCHEMA.ProposeReply.new_message(
        accepted=reply.accepted, leader=reply.leader, outcome=reply.outcome
    )


def propose_reply_from_wire(wire: Any) -> ProposeReply:
    """Converts the reply to a proposed command."""
    return ProposeReply(accepted=wire.accepted, leader=str(wire.leader), outcome=bytes(wire.outcome))


def confirm_reply_to_wire(reply: ConfirmReply) -> Any:
    """Converts the reply to a request for confirmation."""
    return SCHEMA.ConfirmReply.new_message(
        commitIndex=reply.commit_index, confirmedAgeMs=_age_to_wire(reply.confirmed_age_s)
    )


def confirm_reply_from_wire(wire: Any) -> ConfirmReply:
    """Converts the reply to a request for confirmation."""
    return ConfirmReply(commit_index=wire.commitIndex, confirmed_age_s=_age_from_wire(wire.confirmedAgeMs))


def watch_reply_to_wire(reply: WatchReply) -> Any:
    """Converts the reply to a watch."""
    return SCHEMA.WatchReply.new_message(
        firstIndex=reply.first_index,
        entries=list(reply.entries),
        appliedIndex=reply.applied_index,
        confirmedAgeMs=_age_to_wire(reply.confirmed_age_s),
        # Rounded down, because an overstated wait would make the state look fresher than it is.
        waitedMs=math.floor(reply.waited_s * 1000),
        snapshotSize=reply.snapshot_size,
    )


def watch_reply_from_wire(wire: Any) -> WatchReply:
    """Converts the reply to a watch."""
    return WatchReply(
        first_index=wire.firstIndex,
        entries=tuple(bytes(entry) for entry in wire.entries),
        applied_index=wire.appliedIndex,
        confirmed_age_s=_age_from_wire(wire.confirmedAgeMs),
        waited_s=wire.waitedMs / 1000,
        snapshot_size=wire.snapshotSize,
    )


def credit_request_to_wire(request: CreditRequest) -> Any:
    """Converts a request for credits."""
    return SCHEMA.CreditRequest.new_message(
        daemon=request.daemon,
        environment=request.environment,
        service=request.service,
        wanted=request.wanted,
        renewed=list(request.renewed),
        returned=list(request.returned),
        waiting=request.waiting,
        avoided=list(request.avoided),
    )


def credit_request_from_wire(wire: Any) -> CreditRequest:
    """Converts a request for credits."""
    return CreditRequest(
        daemon=str(wire.daemon),
        environment=str(wire.environment),
        service=str(wire.service),
        wanted=wire.wanted,
        renewed=tuple(wire.renewed),
        returned=tuple(wire.returned),
        waiting=wire.waiting,
        avoided=tuple(str(name) for name in wire.avoided),
    )


def credit_reply_to_wire(reply: CreditReply) -> Any:
    """Converts the reply to a request for credits."""
    return SCHEMA.CreditReply.new_message(
        credits=[credit_to_wire(credit) for credit in reply.credits],
        renewed=list(reply.renewed),
        waiting=reply.waiting,
        recalled=list(reply.recalled),
    )


def credit_reply_from_wire(wire: Any) -> CreditReply:
    """Converts the reply to a request for credits."""
    return CreditReply(
        credits=tuple(credit_from_wire(credit) for credit in wire.credits),
        renewed=tuple(wire.renewed),
        waiting=wire.waiting,
        recalled=tuple(wire.recalled),
    )


def credit_to_wire(credit: Credit) -> Any:
    """Converts one credit."""
    return SCHEMA.Credit.new_message(
        endpoint=credit.endpoint,
        address=credit.address,
        service=credit.service,
        environment=credit.environment,
        creditId=credit.credit_id,
        leaseMs=math.floor(credit.lease_s * 1000),
        vm=credit.vm,
    )


def credit_from_wire(wire: Any) -> Credit:
    """Converts one credit."""
    return Credit(
        endpoint=str(wire.endpoint),
        address=str(wire.address),
        service=str(wire.service),
        environment=str(wire.environment),
        credit_id=wire.creditId,
        lease_s=wire.leaseMs / 1000,
        vm=str(wire.vm),
    )


def _age_to_wire(age_s: float) -> int:
    return _INFINITE_AGE_MS if math.isinf(age_s) else math.ceil(age_s * 1000)


def _age_from_wire(age_ms: int) -> float:
    return math.inf if age_ms == _INFINITE_AGE_MS else age_ms / 1000


__all__ = [
    "append_reply_from_wire",
    "append_reply_to_wire",
    "append_request_from_wire",
    "append_request_to_wire",
    "confirm_reply_from_wire",
    "confirm_reply_to_wire",
    "credit_from_wire",
    "credit_reply_from_wire",
    "credit_reply_to_wire",
    "credit_request_from_wire",
    "credit_request_to_wire",
    "credit_to_wire",
    "propose_reply_from_wire",
    "propose_reply_to_wire",
    "snapshot_chunk_from_wire",
    "snapshot_chunk_to_wire",
    "vote_reply_from_wire",
    "vote_reply_to_wire",
    "vote_request_from_wire",
    "vote_request_to_wire",
    "watch_reply_from_wire",
    "watch_reply_to_wire",
]
