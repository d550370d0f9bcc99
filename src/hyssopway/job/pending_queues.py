"""Pending jobs in queues of interchangeable jobs."""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from hyssopway.control.record import Job
    from hyssopway.document import Resources


class GroupKey(NamedTuple):
    """Properties that the jobs of a group share; when one of them fits on no VM, none does."""

    urgent: bool
    team: str
    pool: str
    task_kind: str
    resources: Resources


@dataclass(slots=True, kw_only=True)
class PendingQueues:
    """Heaps in order of acceptance; entries of removed jobs are dropped when they reach the top.

    Attributes:
        groups: Heap of accepted index and job ID by group.
        delayed: Heap of jobs in backoff, ordered by the cluster time of their next attempt.
        members: Group of each pending job; None while it is in backoff.
        counts: Number of queued jobs by group.
    """

    groups: dict[GroupKey, list[tuple[int, str]]] = field(default_factory=dict)
    delayed: list[tuple[int, int, str]] = field(default_factory=list)
    members: dict[str, GroupKey | None] = field(default_factory=dict)
    counts: dict[GroupKey, int] = field(default_factory=dict)

    def add(self, job: Job, *, now_ms: int) -> None:
        """Queues a pending job, or delays it until its backoff ends."""
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
        """Removes a job that is no longer pending."""
        key = self.members.pop(job_id, None)
        if key is None:
            return
        self.counts[key] -= 1
        if not self.counts[key]:
            del self.counts[key]
            del self.groups[key]

    def pop_due(self, *, now_ms: int) -> list[str]:
        """Removes and returns the delayed jobs whose backoff has ended; the caller adds them again."""
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

    def group_heaps_by_team(self, *, urgent: bool) -> dict[str, list[tuple[int, GroupKey]]]:
        """Returns for each team a heap of its groups, ordered by their oldest job."""
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
