"""Pending jobs grouped by urgency, team and shape."""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from hyssopway.control.record import Job
    from hyssopway.document import Resources


class GroupKey(NamedTuple):
    """What the jobs of a group have in common; when one does not fit, none does."""

    urgent: bool
    team: str
    pool: str
    task_kind: str
    resources: Resources


@dataclass(slots=True, kw_only=True)
class PendingQueues:
    """Heaps in order of acceptance; removed jobs stay in them until they come up.

    Attributes:
        groups: Accepted index and job id by group.
        delayed: Jobs that wait for their next try, by state time.
        members: Group of each waiting job; None while delayed.
        counts: Waiting jobs by group.
    """

    groups: dict[GroupKey, list[tuple[int, str]]] = field(default_factory=dict)
    delayed: list[tuple[int, int, str]] = field(default_factory=list)
    members: dict[str, GroupKey | None] = field(default_factory=dict)
    counts: dict[GroupKey, int] = field(default_factory=dict)

    def add(self, job: Job, *, now_ms: int) -> None:
        """Queues a pending job."""
        if job.job_id in self.members:
            return
        if job.not_before_ms > now_ms:
            self.members[job.job_id] = None
            heappush(self.delayed, (job.not_before_ms, job.accepted_index, job.job_id))
            return
        key = group_key(job)
        self.members[job.job_id] = key
        self.counts[key] = self.counts.get(key, 0) + 1
        heappush(self.groups.setdefault(key, []), (job.accepted_index, job.job_id))

    def remove(self, job_id: str) -> None:
        """Forgets a job that is no longer pending."""
        key = self.members.pop(job_id, None)
        if key is None:
            return
        self.counts[key] -= 1
        if not self.counts[key]:
            del self.counts[key]
            del self.groups[key]

    def due(self, *, now_ms: int) -> list[str]:
        """Returns delayed jobs whose time has come; the caller adds them again."""
        found = []
        while self.delayed and self.delayed[0][0] <= now_ms:
            job_id = heappop(self.delayed)[2]
            if job_id in self.members and self.members[job_id] is None:
                del self.members[job_id]
                found.append(job_id)
        return found

    def head(self, key: GroupKey) -> tuple[int, str] | None:
        """Returns the oldest job of a group."""
        heap = self.groups.get(key)
        while heap:
            if self.members.get(heap[0][1]) == key:
                return heap[0]
            heappop(heap)
        return None

    def heads(self, *, urgent: bool) -> dict[str, list[tuple[int, GroupKey]]]:
        """Returns a heap of the groups of each team, the group with the oldest job first."""
        teams: dict[str, list[tuple[int, GroupKey]]] = {}
        for key in self.groups:
            if key.urgent == urgent and (head := self.head(key)) is not None:
                teams.setdefault(key.team, []).append((head[0], key))
        for heap in teams.values():
            heapify(heap)
        return teams


def group_key(job: Job) -> GroupKey:
    """Returns the group of a job."""
    spec = job.spec
    return GroupKey(
        urgent=spec.urgent,
        team=job.team,
        pool=spec.pool,
        task_kind=spec.task_kind,
        resources=spec.resources,
    )


__all__ = ["GroupKey", "PendingQueues", "group_key"]
