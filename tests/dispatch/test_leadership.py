"""Bounds that keep orders of a former leader from leaving late."""

from __future__ import annotations

from hyssopway.dispatch.leadership import LEADER_LEASE_S
from hyssopway.node.control_node import TIMERS


def test_orders_leave_before_another_leader_can_be_elected():
    """Guards against timers under which two leaders order at the same time."""
    assert TIMERS.election_min_s > LEADER_LEASE_S
    assert TIMERS.doubt_s > LEADER_LEASE_S
    assert TIMERS.heartbeat_s * 3 < LEADER_LEASE_S
