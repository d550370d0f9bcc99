"""Replay of a pool as a fluid: work is served at the rate of the capacity, without rounds or VMs."""

from __future__ import annotations

from copy import deepcopy
from dataclasses import dataclass

from hyssopway.scheduling.admission import CapacityStep, OpenWork, estimate_end, is_refused
from hyssopway.scheduling.pool_shares import ResourceAmounts

TICK_MS = 20


@dataclass
class FluidJob:
    """A job whose work may be served all at once, but which lasts at least `path_ms` from its first service."""

    name: int
    team: str
    at_ms: float
    work: float
    path_ms: float
    limit_ms: float
    priority: int = 1
    queue: str = "queue"
    left: float = 0.0
    started_ms: float | None = None
    end_ms: float | None = None
    refusals: int = 0

    def describe(self):
        return OpenWork(
            team=self.team,
            queue=self.queue,
            priority=self.priority,
            deadline_ms=self.at_ms + self.limit_ms,
            remaining_core_s=self.left,
            work=ResourceAmounts(cpu_millis=self.left),
        )


class FluidPool:
    """Serves accepted jobs by priority, then teams by weight, then the smallest remaining work; drops none."""

    def __init__(self, capacity, *, weights=None):
        self.capacity = capacity
        self.weights = weights or {}
        self.now = 0.0
        self.open = []

    def rate(self):
        return [rate for at_ms, rate in self.capacity if at_ms <= self.now][-1]

    def add(self, job):
        job.left = job.work
        self.open.append(job)

    def estimate(self, job):
        job.left = job.work
        steps = [CapacityStep(at_ms=self.now, capacity=ResourceAmounts(cpu_millis=self.rate()))]
        steps += [
            CapacityStep(at_ms=at_ms, capacity=ResourceAmounts(cpu_millis=rate))
            for at_ms, rate in self.capacity
            if at_ms > self.now
        ]
        return estimate_end(
            job.describe(),
            now_ms=self.now,
            path_ms=job.path_ms,
            open_work=[item.describe() for item in self.open],
            capacity=steps,
            weights=self.weights,
        )

    def refuses(self, job):
        return is_refused(self.estimate(job), now_ms=self.now, limit_ms=job.limit_ms)

    def end_if_accepted(self, job, *, horizon_ms=60_000):
        """Returns when a job ends if it is accepted and nothing arrives after it."""
        copy = deepcopy(self)
        accepted = deepcopy(job)
        copy.add(accepted)
        while accepted.end_ms is None and copy.now < self.now + horizon_ms:
            copy.tick()
        return accepted.end_ms if accepted.end_ms is not None else float("inf")

    def tick(self):
        amount = self.rate() * TICK_MS
        for priority in sorted({job.priority for job in self.open}):
            amount = self._serve([job for job in self.open if job.priority == priority], amount)
        self.now += TICK_MS
        for job in self.open:
            if job.left <= 1e-6 and job.started_ms is not None:
                job.end_ms = max(self.now, job.started_ms + job.path_ms)
        self.open = [job for job in self.open if job.end_ms is None]

    def _serve(self, jobs, amount):
        by_team = {}
        for job in sorted(jobs, key=lambda job: (job.left, job.at_ms)):
            by_team.setdefault(job.team, []).append(job)
        while amount > 1e-6 and by_team:
            total = sum(self.weights.get(team, 1.0) for team in by_team)
            shares = {team: amount * self.weights.get(team, 1.0) / total for team in by_team}
            amount = 0.0
            for team, share in shares.items():
                left = self._serve_team(by_team[team], share)
                amount += left
                if left > 1e-9:
                    del by_team[team]
        return amount

    def _serve_team(self, jobs, share):
        for job in jobs:
            if share <= 0:
                break
            if job.started_ms is None:
                job.started_ms = self.now
            used = min(job.left, share)
            job.left -= used
            share -= used
        return share
