"""Handling of vote requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .messages import VoteReply, VoteRequest
from .storage_error import StorageError

if TYPE_CHECKING:
    from .member import Member


async def answer_vote(*, member: Member, request: VoteRequest) -> VoteReply:
    """Handles a request for a vote or a pre-vote."""
    if request.target != member.member_id:
        # Addressed to a former member of this daemon that lost its disk. A vote with an empty log in its name could
        # elect a leader that lacks committed entries.
        return VoteReply(term=member.term, granted=False)
    async with member.lock:
        member.check_running()
        if _has_live_leader(member):
            # A member that was partitioned must not disrupt a group with a live leader.
            return VoteReply(term=member.term, granted=False)
        if request.pre_vote:
            # The candidate that got the last vote may already lead, with its first message still in transit.
            has_recent_vote = member.clock() - member.vote_granted_at < member.timers.doubt_s
            granted = not has_recent_vote and request.term > member.term and _is_up_to_date(member, request)
            return VoteReply(term=member.term, granted=granted)
        try:
            return await _answer_real_vote(member=member, request=request)
        except StorageError as error:
            member.handle_storage_error(error)
            return VoteReply(term=member.term, granted=False)


async def _answer_real_vote(*, member: Member, request: VoteRequest) -> VoteReply:
    await member.adopt_term(request.term)
    voted_for = member.store.vote.voted_for
    granted = (
        request.term == member.term
        and voted_for in ("", request.candidate)
        and _is_up_to_date(member, request)
    )
    if granted:
        await member.run_write(member.store.write_vote, term=member.term, voted_for=request.candidate)
        member.heard_at = member.vote_granted_at = member.clock()
    return VoteReply(term=member.term, granted=granted)


def _has_live_leader(member: Member) -> bool:
    now, timers = member.clock(), member.timers
    if member.is_leader:
        return now - member.quorum_acked_at() < timers.election_min_s
    if not member.leader_id:
        # Before a restart, this member may have confirmed a leader that may still act.
        return now - member.started_at < timers.doubt_s
    is_suspected = member.leader_suspicion.is_active(heard_at=member.heard_at)
    return now - member.heard_at < (timers.doubt_s if is_suspected else timers.election_min_s)


def _is_up_to_date(member: Member, request: VoteRequest) -> bool:
    last_index = member.store.last_index
    last_term = member.store.term_at(last_index) or 0
    return (request.last_term, request.last_index) >= (last_term, last_index)


__all__ = ["answer_vote"]
