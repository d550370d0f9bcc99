"""Control group: components of a daemon that hold and change the replicated state."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING

from hyssopway.agreement import Member, Store
from hyssopway.clock import wall_ms
from hyssopway.control import ClusterClock
from hyssopway.peer import PeerDirectory
from hyssopway.replica import Freshness, Proposer, Replica, Submitter, follow_leader, follow_upstream
from hyssopway.settings import peer_client_context

from .applied_index_history import SAMPLE_S, AppliedIndexHistory
from .membership_manager import MembershipManager

if TYPE_CHECKING:
    from hyssopway.clock import Clock
    from hyssopway.settings import DaemonSettings


class ControlGroup:
    """This daemon's side of the control group: replica, control member and clients of the other daemons.

    Attributes:
        settings: Settings of the daemon.
        clock: Monotonic seconds.
        replica: Local copy of the replicated state.
        freshness: Age of the last confirmation that the replica is current.
        cluster_clock: Cluster clock.
        applied_index_history: Times at which this process applied recent log indexes.
        peers: Clients of the other daemons.
        member: Control member; None on a daemon without a data folder.
        proposer: Proposes commands to this daemon's log; None on a daemon without a data folder.
        submitter: Submits commands to the leader.
        membership: Lists and changes control members for operators.
    """

    __slots__ = (
        "applied_index_history",
        "clock",
        "cluster_clock",
        "freshness",
        "member",
        "membership",
        "peers",
        "proposer",
        "replica",
        "settings",
        "submitter",
    )

    def __init__(self, *, settings: DaemonSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.replica = Replica()
        self.freshness = Freshness(clock=clock)
        self.cluster_clock = ClusterClock(clock=clock)
        self.applied_index_history = AppliedIndexHistory(
            clock=clock, read_index=lambda: self.replica.state.applied_index
        )
        tls = settings.tls
        self.peers = PeerDirectory(settings=settings, tls=peer_client_context(tls) if tls else None)
        self.member = self._build_member()
        self.proposer = self._build_proposer()
        member_daemons = [peer.name for peer in settings.peers if peer.member]
        self.submitter = Submitter(
            own_name=settings.name,
            proposer=self.proposer,
            peers=self.peers,
            members=member_daemons,
            replica=self.replica,
            clock=clock,
        )
        self.membership = MembershipManager(
            own_name=settings.name,
            member=self.member,
            peers=self.peers,
            daemons=member_daemons,
            clock=clock,
        )

    def leads(self) -> bool:
        """Returns whether this daemon is the leader."""
        return self.member is not None and self.member.is_leader

    def now_ms(self) -> int:
        """Returns the cluster time in milliseconds; on a follower it may lag behind the leader's."""
        return self.cluster_clock.read_ms(applied_ms=self.replica.state.tables.now_ms)

    async def confirm(self, member: Member) -> None:
        """Keeps the freshness up to date on a daemon whose member receives entries from the leader."""
        await follow_leader(
            replica=self.replica,
            freshness=self.freshness,
            peers=self.peers,
            find_leader=lambda: member.leader_daemon,
            quorum_acked_at=member.quorum_acked_at,
            own_name=self.settings.name,
        )

    async def watch(self) -> None:
        """Keeps the replica up to date on a daemon without a member."""
        await follow_upstream(
            replica=self.replica,
            freshness=self.freshness,
            peers=self.peers,
            upstreams=[name for name in nearest_first(self.settings) if self.settings.peer(name=name).member],
        )

    async def sample_index(self) -> None:
        """Samples the applied index for the lifetime of the daemon."""
        while True:
            self.applied_index_history.sample()
            await asyncio.sleep(SAMPLE_S)

    def _build_member(self) -> Member | None:
        if self.settings.data_dir is None:
            return None
        return Member(
            daemon=self.settings.name,
            store=Store(folder=Path(self.settings.data_dir)),
            state_machine=self.replica,
            clock=self.clock,
            snapshot_entries=self.settings.snapshot_entries,
        )

    def _build_proposer(self) -> Proposer | None:
        if self.member is None:
            return None
        return Proposer(
            member=self.member,
            replica=self.replica,
            cluster_clock=self.cluster_clock,
            wall_ms=wall_ms,
        )


def nearest_first(settings: DaemonSettings) -> list[str]:
    """Returns the names of the other daemons, those in the same zone first."""
    others = sorted(settings.other_peers(), key=lambda peer: (peer.zone != settings.zone, peer.name))
    return [peer.name for peer in others]


__all__ = ["ControlGroup", "nearest_first"]
