"""Elections before the election timeout expires, and competing candidates."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from hyssopway.agreement import Timers, answer_append, answer_vote, election
from hyssopway.agreement.entry import Entry
from hyssopway.agreement.messages import AppendRequest, VoteReply, VoteRequest
from virtual_time import Gate

from .group import NAMES, FaultyStore, Group, name_of, wait_until

if TYPE_CHECKING:
    from pathlib import Path

    from hyssopway.agreement import Member

# The election timeout is at least 3 s, so a faster election must have another cause.
SLOW_TIMERS = Timers(heartbeat_s=0.05, election_min_s=3.0, election_max_s=4.0, call_s=1.2, doubt_s=0.35)
# Time for `doubt_s` and the staggered campaigns of five members. All members share one process, whose pauses on a busy
# machine would delay an election that is not late, so the tests run on a clock that stands still meanwhile.
EARLY_ELECTION_S = 1.5

pytestmark = pytest.mark.virtual_time


def _now() -> float:
    return asyncio.get_running_loop().time()


@pytest.fixture
async def lone_member(tmp_path: Path):
    """The only running member of five, without its background tasks."""
    group = Group(folder=tmp_path)
    group.start("a")
    node = group.nodes["a"]
    for task in node.tasks:
        task.cancel()
    yield node.member
    await group.stop()


@pytest.fixture
async def slow_timeout_group(tmp_path: Path):
    group = Group(folder=tmp_path, timers=SLOW_TIMERS)
    yield group
    await group.stop()


def _pre_vote(member: Member, *, candidate: str) -> VoteRequest:
    return VoteRequest(
        term=member.term + 1,
        candidate=candidate,
        target=member.member_id,
        last_index=10_000,
        last_term=member.term,
        pre_vote=True,
    )


async def test_candidate_that_voted_for_itself_refuses_pre_votes(lone_member: Member):
    """Guards against a new leader that grants a pre-vote to another candidate before a quorum has confirmed it.

    In a benchmark run the leader of term 5 was deposed after 16 ms by a candidate of term 6.
    """
    member = lone_member
    member.started_at = float("-inf")
    await election._campaign(member=member, transport=_GrantingTransport(member))
    assert member.is_leader
    assert not (await answer_vote(member=member, request=_pre_vote(member, candidate="b/0"))).granted


async def test_candidacy_ends_when_another_election_began_since_the_pre_vote(lone_member: Member):
    """Guards against a candidate that deposes the winner of an election that began after its pre-vote."""
    member = lone_member
    await election._campaign(member=member, transport=_GrantingTransport(member, raise_term=True))
    assert not member.is_leader
    assert member.store.vote.voted_for == ""


class _GrantingTransport:
    """A transport to voters that grant every vote; `raise_term` starts another election during the pre-vote."""

    def __init__(self, member: Member, *, raise_term: bool = False) -> None:
        self.member = member
        self.raise_term = raise_term

    async def vote(self, *, daemon: str, request: VoteRequest, timeout_s: float) -> VoteReply:
        if self.raise_term and request.pre_vote:
            self.member.store.write_vote(term=request.term, voted_for="")
        return VoteReply(term=0, granted=True)


async def test_members_that_all_start_elect_a_leader_at_once(slow_timeout_group: Group):
    """Guards against a starting group that waits for the election timeout although it has no leader."""
    slow_timeout_group.start(*NAMES)
    started = _now()
    leader = await slow_timeout_group.wait_for_leader()
    assert _now() - started < EARLY_ELECTION_S
    await slow_timeout_group.write(b"x")
    term = leader.member.term
    await slow_timeout_group.stop(*NAMES)
    slow_timeout_group.start(*NAMES)
    started = _now()
    leader = await slow_timeout_group.wait_for_leader()
    assert _now() - started < EARLY_ELECTION_S
    assert leader.member.term > term


async def test_lost_connections_to_the_leader_start_an_election(slow_timeout_group: Group):
    """Guards against waiting for the full election timeout after the leader's process was killed."""
    slow_timeout_group.start(*NAMES)
    leader = name_of(await slow_timeout_group.wait_for_leader())
    others = tuple(name for name in NAMES if name != leader)
    await slow_timeout_group.stop(leader)
    started = _now()
    for name in others:
        slow_timeout_group.nodes[name].member.leader_suspicion.start()
    await slow_timeout_group.wait_for_leader(among=others)
    assert _now() - started < EARLY_ELECTION_S


async def test_write_that_outlasts_the_leader_does_not_end_the_suspicion(lone_member: Member):
    """Guards against a voter that counts its dead leader as alive because it wrote the last entries after its death.

    Two such voters of five refuse all others their vote for the full election timeout.
    """
    store = lone_member.store
    assert isinstance(store, FaultyStore)
    store.gate = Gate()
    request = AppendRequest(
        term=1,
        leader="b/0",
        target=lone_member.member_id,
        previous_index=lone_member.store.last_index,
        previous_term=lone_member.store.term_at(lone_member.store.last_index) or 0,
        commit_index=0,
        entries=(Entry(term=1, data=b"last"),),
    )
    writing = asyncio.create_task(answer_append(member=lone_member, request=request))
    await wait_until(lambda: store.gate.held)
    await asyncio.sleep(0.05)
    lone_member.leader_suspicion.start()
    await asyncio.sleep(0.05)
    store.gate.open()
    assert (await writing).success
    assert lone_member.leader_suspicion.is_active(heard_at=lone_member.heard_at)
    assert (await answer_append(member=lone_member, request=replace(request, entries=()))).success
    assert not lone_member.leader_suspicion.is_active(heard_at=lone_member.heard_at)


async def test_election_starts_early_while_voters_write_the_last_entries(slow_timeout_group: Group):
    """Guards against waiting for the full election timeout when the leader dies while two voters write."""
    slow_timeout_group.start(*NAMES)
    leader = await slow_timeout_group.wait_for_leader()
    # A campaign that goes on since the start would hide that a voter counts the leader as alive.
    await asyncio.sleep(2 * SLOW_TIMERS.doubt_s)
    others = tuple(name for name in NAMES if name != name_of(leader))
    gate = Gate()
    for name in others[:2]:
        slow_timeout_group.nodes[name].store.gate = gate
    await slow_timeout_group.write(b"x")
    await slow_timeout_group.stop(name_of(leader))
    started = _now()
    for name in others:
        slow_timeout_group.nodes[name].member.leader_suspicion.start()
    await asyncio.sleep(0.1)
    assert gate.held == 2
    gate.open()
    await slow_timeout_group.wait_for_leader(among=others)
    assert _now() - started < EARLY_ELECTION_S


async def test_live_leader_survives_suspicions(slow_timeout_group: Group):
    """Guards against a live leader that is deposed because its connections were reset."""
    slow_timeout_group.start(*NAMES)
    leader = await slow_timeout_group.wait_for_leader()
    term = leader.member.term
    for _ in range(5):
        for node in slow_timeout_group.nodes.values():
            node.member.leader_suspicion.start()
        await asyncio.sleep(0.2)
    assert leader.member.is_leader
    assert leader.member.term == term


async def test_suspecting_member_grants_no_vote_while_its_leader_may_act(slow_timeout_group: Group):
    """Guards against two leaders that act at the same time after connections were lost."""
    slow_timeout_group.start(*NAMES)
    leader = name_of(await slow_timeout_group.wait_for_leader())
    follower, candidate = _two_others(leader)
    member = slow_timeout_group.nodes[follower].member
    await asyncio.sleep(SLOW_TIMERS.heartbeat_s * 3)
    member.leader_suspicion.start()
    request = _pre_vote(member, candidate=f"{candidate}/0")
    assert not (await answer_vote(member=member, request=request)).granted
    real = VoteRequest(
        term=member.term + 1,
        candidate=f"{candidate}/0",
        target=member.member_id,
        last_index=10_000,
        last_term=member.term,
        pre_vote=False,
    )
    assert not (await answer_vote(member=member, request=real)).granted


async def test_restarted_member_grants_no_vote_while_an_earlier_leader_may_act(lone_member: Member):
    """Guards against a vote right after a restart, while a leader that was heard before may still act."""
    request = _pre_vote(lone_member, candidate="b/0")
    assert not (await answer_vote(member=lone_member, request=request)).granted


def _two_others(leader: str) -> list[str]:
    return [name for name in NAMES if name != leader][:2]
