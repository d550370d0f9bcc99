"""Tests that the leader lease is consistent with the election timers."""

from __future__ import annotations

from hyssopway.dispatch.leadership import LEADER_LEASE_S
from hyssopway.node.control_node import TIMERS


def test_leader_lease_ends_before_another_leader_can_be_elected():
    """Guards against timers that let two leaders send orders at the same time."""
    assert TIMERS.election_min_s > LEADER_LEASE_S
    assert TIMERS.doubt_s > LEADER_LEASE_S
    assert TIMERS.heartbeat_s * 3 < LEADER_LEASE_S
