"""Components of a daemon that place jobs and control runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.job import HomeMonitor, JobScheduler, RunRevoker, UsageReports
from hyssopway.worker import WorkerSessions

if TYPE_CHECKING:
    from .control_group import ControlGroup
    from .fleet_components import FleetComponents
    from .peer_calls import PeerCallHandler


class JobComponents:
    """Worker sessions and the job components of the leader.

    Attributes:
        sessions: Sessions of the workers whose home is this daemon.
        usage_reports: Last reported usage of running tasks.
        scheduler: Places jobs; active only on the leader.
        home_monitor: Declares runs of unreachable homes lost; active only on the leader.
        run_revoker: Revokes runs that an unreachable home never dispatched; None without a data folder.
    """

    __slots__ = ("home_monitor", "run_revoker", "scheduler", "sessions", "usage_reports")

    def __init__(self, *, group: ControlGroup, fleet: FleetComponents, peer_calls: PeerCallHandler) -> None:
        own_name = group.settings.name
        self.sessions = WorkerSessions(
            own_name=own_name,
            replica=group.replica,
            freshness=group.freshness,
            submitter=group.submitter,
            clock=group.clock,
            count_requests=fleet.vm_requests.count,
        )
        self.usage_reports = UsageReports()
        self.scheduler = JobScheduler(
            replica=group.replica,
            submitter=group.submitter,
            leads=group.leads,
            now_ms=group.now_ms,
            usage_reports=self.usage_reports,
            clock=group.clock,
        )
        self.home_monitor = HomeMonitor(
            own_name=own_name,
            replica=group.replica,
            submitter=group.submitter,
            contacts=peer_calls.contacts,
            leads=group.leads,
            clock=group.clock,
        )
        self.scheduler.planner.find_silent_homes = self.home_monitor.find_silent_homes
        self.run_revoker = self._build_run_revoker(group=group, peer_calls=peer_calls)

    def _build_run_revoker(self, *, group: ControlGroup, peer_calls: PeerCallHandler) -> RunRevoker | None:
        if group.member is None or group.proposer is None:
            return None
        return RunRevoker(
            replica=group.replica,
            member=group.member,
            proposer=group.proposer,
            home_monitor=self.home_monitor,
            confirmed_homes={peer.name for peer in group.settings.peers if peer.member},
            confirmed_indexes=peer_calls.confirmed_indexes,
            undecided_ends=peer_calls.undecided_ends,
        )


__all__ = ["JobComponents"]
