"""Leader elections, and the checks after which a leader steps down."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event

from .configuration import daemon_of
from .messages import VoteReply, VoteRequest
from .role import Role
from .storage_error import StorageError

if TYPE_CHECKING:
    import random

    from .member import Member
    from .transport import Transport


MAX_TIMEOUT_DOUBLINGS = 3
# Staggers the campaigns of members that suspect the leader at the same time; longer than a vote takes on a slow disk.
EARLY_CAMPAIGN_STEP_S = 0.04
EARLY_CAMPAIGN_RETRY_S = 0.04


async def run_elections(*, member: Member, transport: Transport, rng: random.Random) -> None:
    """Runs the election timer until the member stops."""
    lost_elections = 0
    # A member that has just started does not know a leader.
    member.leader_suspicion.start()
    while member.role is not Role.STOPPED:
        # Without growing timeouts, a group with slow disks might never elect a leader.
        factor = 2 ** min(lost_elections, MAX_TIMEOUT_DOUBLINGS)
        timeout_s = factor * rng.uniform(member.timers.election_min_s, member.timers.election_max_s)
        is_suspected = await member.leader_suspicion.wait(
            timeout_s=timeout_s if not member.is_leader else member.timers.heartbeat_s
        )
        if member.is_leader or member.leader_id:
            lost_elections = 0
        if is_suspected:
            lost_elections += await _campaign_early(member=member, transport=transport)
        elif member.is_leader:
            _check_quorum(member)
            _check_own_disk(member)
        elif _may_campaign(member, silence_s=timeout_s):
            # A failed pre-vote does not count as a lost election because it writes nothing to disk: after a
            # long isolation the group still elects a leader within the shortest timeout.
            lost_elections += await _campaign(member=member, transport=transport)


async def _campaign_early(*, member: Member, transport: Transport) -> bool:
    """Campaigns until a leader is heard or `election_max_s` has passed.

    Returns:
        Whether an election was lost; failed pre-votes do not count.
    """
    has_lost = False
    deadline = member.clock() + member.timers.election_max_s
    while member.clock() < deadline and _may_campaign_early(member):
        silence_s = member.clock() - member.heard_at
        rank = sorted(member.configuration.voters).index(member.member_id)
        await asyncio.sleep(max(0.0, member.timers.doubt_s - silence_s) + rank * EARLY_CAMPAIGN_STEP_S)
        if _may_campaign_early(member):
            has_lost |= await _campaign(member=member, transport=transport)
        await asyncio.sleep(EARLY_CAMPAIGN_RETRY_S)
    return has_lost


def _may_campaign_early(member: Member) -> bool:
    is_suspected = member.leader_suspicion.is_active(heard_at=member.heard_at)
    return is_suspected and not member.is_leader and _may_campaign(member, silence_s=float("-inf"))


def _may_campaign(member: Member, *, silence_s: float) -> bool:
    now = member.clock()
    is_able = member.is_voter and not member.is_halted
    return is_able and now - member.heard_at >= silence_s and now >= member.candidacy_suspended_until


def _check_own_disk(member: Member) -> None:
    if not member.is_leader:
        return
    others = sorted(
        (
            member.progress[voter].match_index
            for voter in member.configuration.voters
            if voter in member.progress
        ),
        reverse=True,
    )
    quorum = member.configuration.quorum
    # Stepping down helps only if a quorum of the other voters is ahead of this disk.
    if len(others) < quorum or others[quorum - 1] <= member.store.synced_index:
        member.disk_lagging_since = float("inf")
        return
    member.disk_lagging_since = min(member.disk_lagging_since, member.clock())
    if member.clock() - member.disk_lagging_since >= member.timers.stall_s:
        log_event(Event.DISK_STALLED, synced_index=member.store.synced_index, index=others[quorum - 1])
        member.suspend_candidacy()
        member.step_down(reason="own disk is slower than the disks of a quorum of the other voters")


def _check_quorum(member: Member) -> None:
    voters = member.configuration.voters
    oldest_valid_ack = member.clock() - member.timers.election_max_s
    reachable = sum(
        voter == member.member_id or member.progress[voter].acked_at > oldest_valid_ack for voter in voters
    )
    if reachable >= member.configuration.quorum:
        return
    if member.clock() - member.heard_at < member.timers.election_max_s:
        return  # elected so recently that followers had no time to answer
    log_event(Event.QUORUM_LOST, reachable=reachable, voters=len(voters))
    member.step_down(reason="no quorum of voters is reachable")
    member.heard_at = member.clock()


async def _campaign(*, member: Member, transport: Transport) -> bool:
    """Runs a pre-vote and an election; returns whether the election was lost (a failed pre-vote is not)."""
    member.role = Role.CANDIDATE
    member.leader_id = ""
    term = member.term + 1
    if not await _collect_votes(member=member, transport=transport, term=term, pre_vote=True):
        return False
    async with member.lock:
        if member.role is not Role.CANDIDATE or member.clock() < member.candidacy_suspended_until:
            return False
        if member.term != term - 1:
            return False  # another election has started since the pre-vote
        member.drop_unsynced()
        try:
            await member.run_write(member.store.write_vote, term=term, voted_for=member.member_id)
            # Makes this member refuse pre-votes to other candidates until this election is decided.
            member.vote_granted_at = member.clock()
        except StorageError as error:
            member.handle_storage_error(error)
            return False
    log_event(Event.ELECTION_STARTED, term=term)
    won = await _collect_votes(member=member, transport=transport, term=term, pre_vote=False)
    async with member.lock:
        if won and member.role is Role.CANDIDATE and member.term == term:
            member.heard_at = member.clock()
            member.become_leader()
    return not won


async def _collect_votes(*, member: Member, transport: Transport, term: int, pre_vote: bool) -> bool:
    last_index = member.store.last_index
    last_term = member.store.term_at(last_index) or 0
    others = [voter for voter in member.configuration.voters if voter != member.member_id]
    votes_needed = member.configuration.quorum - 1
    calls = {
        asyncio.create_task(
            transport.vote(
                daemon=daemon_of(voter),
                request=VoteRequest(
                    term=term,
                    candidate=member.member_id,
                    target=voter,
                    last_index=last_index,
                    last_term=last_term,
                    pre_vote=pre_vote,
                ),
                # A pre-vote needs no disk write, and an unreachable voter must not delay the next attempt.
                timeout_s=member.timers.election_min_s if pre_vote else member.timers.call_s,
            )
        )
        for voter in others
    }
    try:
        return await _count_votes(member=member, calls=calls, votes_needed=votes_needed)
    finally:
        for call in calls:
            call.cancel()


async def _count_votes(*, member: Member, calls: set[asyncio.Task[VoteReply]], votes_needed: int) -> bool:
    calls = set(calls)
    while votes_needed > 0 and calls:
        done, calls = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
        for call in done:
            if call.cancelled() or call.exception() is not None:
                continue
            reply = call.result()
            if reply.term > member.term:
                async with member.lock:
                    await member.adopt_term(reply.term)
                return False
            votes_needed -= reply.granted
    return votes_needed <= 0


__all__ = ["run_elections"]
