"""Parts of a daemon that place jobs and order runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.job import JobScheduler, LostHomes, UsageBook
from hyssopway.worker import WorkerSessions

if TYPE_CHECKING:
    from .control_group import ControlGroup
    from .fleet_parts import FleetParts


class JobPath:
    """Worker sessions and the leader's schedulers.

    Attributes:
        sessions: Sessions of the workers whose home is this daemon.
        usage: Reported usage of running tasks.
        scheduler: Places jobs; acts on the leader.
        lost_homes: Declares runs of unreachable homes lost; acts on the leader.
    """

    __slots__ = ("lost_homes", "scheduler", "sessions", "usage")

    def __init__(self, *, group: ControlGroup, fleet: FleetParts, contacts: dict[str, float]) -> None:
        own_name = group.settings.name
        self.sessions = WorkerSessions(
            own_name=own_name,
            replica=group.replica,
            freshness=group.freshness,
            submitter=group.submitter,
            clock=group.clock,
            count_requests=fleet.vm_requests.count,
        )
        self.usage = UsageBook()
        self.scheduler = JobScheduler(
            replica=group.replica,
            submitter=group.submitter,
            leads=group.leads,
            now_ms=group.now_ms,
            book=self.usage,
            clock=group.clock,
        )
        self.lost_homes = LostHomes(
            own_name=own_name,
            replica=group.replica,
            submitter=group.submitter,
            contacts=contacts,
            leads=group.leads,
            clock=group.clock,
        )


__all__ = ["JobPath"]
