"""Timeouts and intervals of a member."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Timers:
    """Timeouts and intervals, in seconds.

    Attributes:
        heartbeat_s: Interval between heartbeats.
        election_min_s: Lower bound of the randomised election timeout.
        election_max_s: Upper bound of the randomised election timeout.
        doubt_s: Time without a message from the leader after which a member that suspects the leader starts or joins
            an election; longer than a leader may act after a quorum has confirmed it.
        call_s: Timeout of a call to another member; longer than a slow sync of its disk.
        stall_s: How long a leader's disk may lag behind a quorum of the other voters before the leader steps down.
        suspend_s: How long a member does not campaign after its disk failed or stalled.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.6
    election_max_s: float = 1.2
    doubt_s: float = 0.35
    call_s: float = 2.0
    stall_s: float = 1.0
    suspend_s: float = 10.0


__all__ = ["Timers"]
