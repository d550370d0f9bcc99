"""The right of a leader to decide: its lease, and the state that it decides from."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from hyssopway.dispatch import Leadership, LeadershipLostError
from hyssopway.dispatch.leadership import LEADER_LEASE_S
from hyssopway.node.control_node import TIMERS
from hyssopway.workflow import WorkflowState

MAX_WAIT_S = 2.0


@pytest.fixture
def member():
    return SimpleNamespace(is_leader=True, term=3, applied_index=7, store=SimpleNamespace(last_index=9))


@pytest.fixture
def real_leadership(member):
    return Leadership(member=member, state=WorkflowState(), clock=lambda: 1.0)


def test_leader_lease_ends_before_another_leader_can_be_elected():
    """Guards against timers that let two leaders send orders at the same time."""
    assert TIMERS.election_min_s > LEADER_LEASE_S
    assert TIMERS.doubt_s > LEADER_LEASE_S
    assert TIMERS.heartbeat_s * 3 < LEADER_LEASE_S


async def test_decisions_wait_for_the_entries_of_the_own_log(member, real_leadership):
    """Guards against a control loop that is started again and decides from a state without its unconfirmed command."""
    waiting = asyncio.create_task(real_leadership.wait_until_applied())
    await asyncio.sleep(0.02)
    member.applied_index, member.store.last_index = 8, 12
    await asyncio.sleep(0.02)
    assert not waiting.done()
    member.applied_index = 9
    await asyncio.wait_for(waiting, MAX_WAIT_S)


async def test_wait_for_entries_ends_with_the_term(member, real_leadership):
    """Guards against a control loop of an earlier leader that waits for ever for an entry that was dropped."""
    waiting = asyncio.create_task(real_leadership.wait_until_applied())
    await asyncio.sleep(0.02)
    member.term = 4
    with pytest.raises(LeadershipLostError):
        await asyncio.wait_for(waiting, MAX_WAIT_S)
