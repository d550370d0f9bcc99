"""Decides whether a submitted job is accepted, for bursts that request several times what a pool can serve.

The estimate is a lower bound: only work that precedes the job in the service order and is due earlier counts. Capacity is
divided among teams by weight as long as each of them has work (generalised processor sharing).
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, inf
from typing import TYPE_CHECKING

from .pool_shares import ResourceAmounts

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

# Declared durations are rough, and a job refused wrongly is lost, so the estimate has to exceed the limit by a fifth.
MARGIN = 1.2
RESOURCES = ("cpu_millis", "memory_mb", "accelerators")


@dataclass(slots=True, kw_only=True)
class OpenWork:
    """Work that is to be served.

    Attributes:
        team: Team that submitted it.
        queue: Its queue.
        priority: Priority of its queue; 0 is the highest.
        deadline_ms: Time at which a result loses its value.
        remaining_core_s: Declared remaining work; less is served first.
        work: Remaining work: amounts of resources times milliseconds.
    """

    team: str
    queue: str
    priority: int
    deadline_ms: float
    remaining_core_s: float
    work: ResourceAmounts


@dataclass(frozen=True, slots=True, kw_only=True)
class CapacityStep:
    """Capacity of a pool from some time on.

    Attributes:
        at_ms: Time from which it holds.
        capacity: Amounts of resources.
    """

    at_ms: float
    capacity: ResourceAmounts


@dataclass(frozen=True, slots=True, kw_only=True)
class Estimate:
    """Estimate for one job.

    Attributes:
        start_ms: Earliest time at which the pool has served the work before the job.
        end_ms: Earliest time at which the job ends; infinite in a pool that lacks a resource that the job needs.
        work_before: Work that is served before the job: amounts of resources times milliseconds.
    """

    start_ms: float
    end_ms: float
    work_before: ResourceAmounts


def estimate_end(
    job: OpenWork,
    *,
    now_ms: float,
    path_ms: float,
    open_work: Iterable[OpenWork],
    capacity: Sequence[CapacityStep],
    weights: Mapping[str, float],
) -> Estimate:
    """Estimates when a job ends in a pool.

    Args:
        job: The job, with the time of its deadline.
        now_ms: Present time.
        path_ms: Shortest duration of the job.
        open_work: Work of accepted jobs in the pool that is not overdue.
        capacity: Capacity of the pool over time, from the time at which `open_work` was open.
        weights: Weights of teams; 1 for a team that is not listed.
    """
    first = ResourceAmounts()
    by_team: dict[str, ResourceAmounts] = {}
    for item in open_work:
        if not _precedes(item, job):
            continue
        amounts = first if item.priority < job.priority else by_team.setdefault(item.team, ResourceAmounts())
        amounts.increase(item.work)
    own = by_team.get(job.team, ResourceAmounts())
    others = {team: amounts for team, amounts in by_team.items() if team != job.team}
    pool = capacity[-1].capacity if capacity else ResourceAmounts()
    before = _work_served_with(own, team=job.team, others=others, weights=weights, pool=pool).plus(first)
    own_with_job = own.plus(job.work)
    total = _work_served_with(own_with_job, team=job.team, others=others, weights=weights, pool=pool).plus(
        first
    )
    start_ms, served_ms = now_ms, now_ms
    for name in RESOURCES:
        if getattr(job.work, name):
            start_ms = max(start_ms, _time_served(getattr(before, name), capacity=capacity, name=name))
            served_ms = max(served_ms, _time_served(getattr(total, name), capacity=capacity, name=name))
    return Estimate(start_ms=start_ms, end_ms=max(start_ms + path_ms, served_ms), work_before=before)


def is_refused(estimate: Estimate, *, now_ms: float, limit_ms: float) -> bool:
    """Returns whether a job that has to end within `limit_ms` is refused.

    A job that is too large for an empty pool is accepted by one: coming back later would not help it.
    """
    return estimate.start_ms > now_ms and estimate.end_ms - now_ms > MARGIN * limit_ms


def excess_ms(estimate: Estimate, *, now_ms: float, limit_ms: float) -> float:
    """Returns how long it takes until a refused job would be accepted, if nothing else arrives."""
    return min(estimate.end_ms - now_ms - limit_ms, estimate.start_ms - now_ms)


class RetryTimes:
    """Spreads the return of refused callers: each is sent back after the work of those refused before it.

    Attributes:
        longest_s: Longest time that is sent.
        promised: Pool time in milliseconds that callers were sent back for, and the time when it was updated, by pool.
    """

    __slots__ = ("longest_s", "promised")

    def __init__(self, *, longest_s: int) -> None:
        self.longest_s = longest_s
        self.promised: dict[str, tuple[float, float]] = {}

    def next_s(self, pool: str, *, excess_ms: float, job_ms: float, now_ms: float) -> int:
        """Returns after how many whole seconds a refused caller should come back.

        Args:
            pool: Pool of the job.
            excess_ms: Time by which the estimated end is too late.
            job_ms: Time for which the job would use the whole pool.
            now_ms: Present time.
        """
        promised, updated_ms = self.promised.get(pool, (0.0, now_ms))
        promised = max(0.0, promised - max(0.0, now_ms - updated_ms))
        wait_s = (excess_ms + promised) / 1000
        self.promised[pool] = (min(promised + job_ms, self.longest_s * 1000.0), now_ms)
        if wait_s >= self.longest_s:
            return self.longest_s
        return max(1, ceil(wait_s))


def _work_served_with(
    own: ResourceAmounts,
    *,
    team: str,
    others: Mapping[str, ResourceAmounts],
    weights: Mapping[str, float],
    pool: ResourceAmounts,
) -> ResourceAmounts:
    """Returns the work that a pool serves until some work of a team is done.

    Each other team is served until then in proportion to its weight, measured by its dominant resource.
    """
    level = own.dominant_share(pool) / weights.get(team, 1.0)
    served = ResourceAmounts()
    served.increase(own)
    for other, work in others.items():
        demand = work.dominant_share(pool)
        if demand > 0:
            served.increase(work, factor=min(1.0, level * weights.get(other, 1.0) / demand))
    return served


def _precedes(item: OpenWork, job: OpenWork) -> bool:
    """Returns whether work is served before a job of its team and due earlier.

    Larger work does not count because the leader serves less remaining work first. Counting work up to twice as large
    refused more of the jobs that would have been overdue, but also jobs that would have ended in time.

    A queue of the highest priority is held up only by its own work.
    """
    if item.deadline_ms > job.deadline_ms:
        return False
    if job.priority == 0 and item.queue != job.queue:
        return False
    if item.priority != job.priority:
        return item.priority < job.priority
    return item.remaining_core_s <= job.remaining_core_s


def _time_served(amount: float, *, capacity: Sequence[CapacityStep], name: str) -> float:
    """Returns the time at which a pool has served an amount of work."""
    left = amount
    for number, step in enumerate(capacity):
        rate = getattr(step.capacity, name)
        end_ms = capacity[number + 1].at_ms if number + 1 < len(capacity) else inf
        if left <= 0:
            return step.at_ms
        if rate > 0 and left <= rate * (end_ms - step.at_ms):
            return float(step.at_ms + left / rate)
        left -= rate * (end_ms - step.at_ms) if rate > 0 else 0.0
    return inf if left > 0 else 0.0


__all__ = [
    "MARGIN",
    "CapacityStep",
    "Estimate",
    "OpenWork",
    "RetryTimes",
    "estimate_end",
    "excess_ms",
    "is_refused",
]
