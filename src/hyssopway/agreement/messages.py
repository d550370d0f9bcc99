"""Messages between members."""

from __future__ import annotations

from dataclasses import dataclass

from .entry import Entry


@dataclass(frozen=True, slots=True, kw_only=True)
class VoteRequest:
    """A candidate asks for a vote.

    Attributes:
        term: Term that the candidate wants to lead.
        candidate: Id of the candidate.
        target: Id of the member that is asked.
        last_index: Index of its last entry.
        last_term: Term of its last entry.
        pre_vote: Whether this only asks if a vote would be granted.
    """

    term: int
    candidate: str
    target: str
    last_index: int
    last_term: int
    pre_vote: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class VoteReply:
    """Answer to a vote request.

    Attributes:
        term: Current term of the voter.
        granted: Whether the vote is granted.
    """

    term: int
    granted: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class AppendRequest:
    """A leader sends entries or a heartbeat.

    Attributes:
        term: Term of the leader.
        leader: Id of the leader.
        target: Id of the member it is meant for.
        previous_index: Index before the first entry.
        previous_term: Term at that index.
        commit_index: Index up to which the leader has committed.
        entries: Entries to append.
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
    """Answer to entries, a heartbeat or a snapshot.

    Attributes:
        term: Current term of the member.
        success: Whether the member's log matches.
        match_index: On success the last matching index, otherwise where to try next.
        member: Id of the member that answers.
    """

    term: int
    success: bool
    match_index: int
    member: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotChunk:
    """A part of a snapshot.

    Attributes:
        term: Term of the leader.
        leader: Id of the leader.
        index: Last index that the snapshot covers.
        index_term: Term at that index.
        configuration: Encoded configuration at that index.
        offset: Position of `data` in the snapshot.
        data: Bytes of the snapshot.
        last: Whether this is the last part.
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
