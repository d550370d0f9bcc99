"""Timers of a member."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Timers:
    """Durations in seconds.

    Attributes:
        heartbeat_s: Time between two messages to a silent follower.
        election_min_s: Shortest silence after which a member starts an election.
        election_max_s: Longest silence after which a member starts an election.
        doubt_s: Silence after which a member that doubts its leader starts or joins an election; above the time
            for which a leader may act after a quorum confirmed it.
        call_s: Longest wait for an answer of another member; longer than a slow sync of its disk.
        stall_s: How long a leader's own disk may hold up what a quorum of the others already holds.
        suspend_s: How long a member whose disk failed or stalled leaves elections to the others.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.6
    election_max_s: float = 1.2
    doubt_s: float = 0.35
    call_s: float = 2.0
    stall_s: float = 1.0
    suspend_s: float = 10.0


__all__ = ["Timers"]
