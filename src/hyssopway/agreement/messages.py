"""Messages of the Raft protocol."""

from __future__ import annotations

from dataclasses import dataclass

from .entry import Entry


@dataclass(frozen=True, slots=True, kw_only=True)
class VoteRequest:
    """Request of a candidate for a vote.

    Attributes:
        term: Term that the candidate wants to lead.
        candidate: Id of the candidate.
        target: Id of the member that the request is addressed to.
        last_index: Index of the candidate's last entry.
        last_term: Term of the candidate's last entry.
        pre_vote: Whether the request only asks if a vote would be granted.
    """

    term: int
    candidate: str
    target: str
    last_index: int
    last_term: int
    pre_vote: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class VoteReply:
    """Reply to a vote request.

    Attributes:
        term: Current term of the voter.
        granted: Whether the vote is granted.
    """

    term: int
    granted: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class AppendRequest:
    """Entries or, if empty, a heartbeat from a leader.

    Attributes:
        term: Term of the leader.
        leader: Id of the leader.
        target: Id of the member that the request is addressed to.
        previous_index: Index of the entry that precedes `entries`.
        previous_term: Term of that entry.
        commit_index: Last index that the leader has committed.
        entries: Entries to append; empty in a heartbeat.
    """

    term: int
    leader: str
    target: str
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class AppendReply:
    """Reply to entries, a heartbeat or a snapshot chunk.

    Attributes:
        term: Current term of the member.
        success: Whether the member accepted the request.
        match_index: On success the last index known to match the leader's log, 0 if the log was not checked;
            otherwise the index up to which the leader should check next.
        member: Id of the member that replies.
        supported_version: Highest version of the replicated state that the member supports; 0 in replies of releases that
            have no versions.
    """

    term: int
    success: bool
    match_index: int
    member: str
    supported_version: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotChunk:
    """A chunk of a snapshot.

    Attributes:
        term: Term of the leader.
        leader: Id of the leader.
        index: Last index that the snapshot covers.
        index_term: Term of the entry at `index`.
        configuration: Encoded configuration at `index`.
        offset: Offset of `data` in the snapshot, in bytes.
        data: Bytes of the snapshot state.
        last: Whether this is the last chunk.
    """

    term: int
    leader: str
    index: int
    index_term: int
    configuration: bytes
    offset: int
    data: bytes
    last: bool


__all__ = ["AppendReply", "AppendRequest", "SnapshotChunk", "VoteReply", "VoteRequest"]
