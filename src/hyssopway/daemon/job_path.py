"""Parts of a daemon that place jobs and order runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.job import HomeMonitor, JobScheduler, RunRevoker, UsageReports
from hyssopway.worker import WorkerSessions

if TYPE_CHECKING:
    from .control_group import ControlGroup
    from .fleet_parts import FleetParts
    from .peer_calls import PeerCallHandler


class JobPath:
    """Worker sessions and the leader's schedulers.

    Attributes:
        sessions: Sessions of the workers whose home is this daemon.
        usage: Reported usage of running tasks.
        scheduler: Places jobs; acts on the leader.
        lost_homes: Declares runs of unreachable homes lost; acts on the leader.
        unordered_runs: Takes back runs that an unreachable home did not order; None without a disk.
    """

    __slots__ = ("lost_homes", "scheduler", "sessions", "unordered_runs", "usage")

    def __init__(self, *, group: ControlGroup, fleet: FleetParts, calls: PeerCallHandler) -> None:
        own_name = group.settings.name
        self.sessions = WorkerSessions(
            own_name=own_name,
            replica=group.replica,
            freshness=group.freshness,
            submitter=group.submitter,
            clock=group.clock,
            count_requests=fleet.vm_requests.count,
        )
        self.usage = UsageReports()
        self.scheduler = JobScheduler(
            replica=group.replica,
            submitter=group.submitter,
            leads=group.leads,
            now_ms=group.now_ms,
            usage_reports=self.usage,
            clock=group.clock,
        )
        self.lost_homes = HomeMonitor(
            own_name=own_name,
            replica=group.replica,
            submitter=group.submitter,
            contacts=calls.contacts,
            leads=group.leads,
            clock=group.clock,
        )
        self.scheduler.planner.find_silent_homes = self.lost_homes.find_silent_homes
        self.unordered_runs = self._build_unordered_runs(group=group, calls=calls)

    def _build_unordered_runs(self, *, group: ControlGroup, calls: PeerCallHandler) -> RunRevoker | None:
        if group.member is None or group.proposer is None:
            return None
        return RunRevoker(
            replica=group.replica,
            member=group.member,
            proposer=group.proposer,
            home_monitor=self.lost_homes,
            confirmed_homes={peer.name for peer in group.settings.peers if peer.member},
            confirmed_indexes=calls.covered,
            undecided_ends=calls.withheld,
        )


__all__ = ["JobPath"]
