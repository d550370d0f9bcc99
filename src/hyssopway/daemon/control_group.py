"""Parts of a daemon that hold and change the agreed state."""

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

from .applied_times import SAMPLE_S, AppliedTimes
from .members import Members

if TYPE_CHECKING:
    from hyssopway.clock import Clock
    from hyssopway.settings import DaemonSettings


class ControlGroup:
    """Replica, control member and the ways to the other daemons.

    Attributes:
        settings: Settings of the daemon.
        clock: Monotonic seconds.
        replica: Agreed state.
        freshness: How current the replica is.
        cluster_clock: Time in the agreed state.
        applied_times: When this process reached recent log indexes.
        peers: Clients of the other daemons.
        member: Control member; None without a disk.
        proposer: Way into the log on this daemon; None without a disk.
        submitter: Way to the leader.
        members: Control members as operators see them.
    """

    __slots__ = (
        "cluster_clock",
        "applied_times",
        "clock",
        "freshness",
        "member",
        "members",
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
        self.applied_times = AppliedTimes(clock=clock, read_index=lambda: self.replica.state.applied_index)
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
        self.members = Members(
            own_name=settings.name,
            member=self.member,
            peers=self.peers,
            daemons=member_daemons,
            clock=clock,
        )

    def leads(self) -> bool:
        """Tells whether this daemon leads its region."""
        return self.member is not None and self.member.is_leader

    def now_ms(self) -> int:
        """Returns agreed time; on a daemon that does not lead it may lag behind the leader's."""
        return self.cluster_clock.read_ms(applied_ms=self.replica.state.tables.now_ms)

    async def confirm(self, member: Member) -> None:
        """Keeps the freshness of a daemon with a member, which gets entries from the leader's log."""
        await follow_leader(
            replica=self.replica,
            freshness=self.freshness,
            peers=self.peers,
            find_leader=lambda: member.leader_daemon,
            own_confirmed_at=member.quorum_acked_at,
            own_name=self.settings.name,
        )

    async def watch(self) -> None:
        """Keeps the replica of a daemon without a member up to date."""
        await follow_upstream(
            replica=self.replica,
            freshness=self.freshness,
            peers=self.peers,
            upstreams=[name for name in nearest_first(self.settings) if self.settings.peer(name=name).member],
        )

    async def sample_index(self) -> None:
        """Samples the applied index for as long as the daemon runs."""
        while True:
            self.applied_times.sample()
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
    """Returns the other daemons, those of the own zone first."""
    others = sorted(settings.others(), key=lambda peer: (peer.zone != settings.zone, peer.name))
    return [peer.name for peer in others]


__all__ = ["ControlGroup", "nearest_first"]
