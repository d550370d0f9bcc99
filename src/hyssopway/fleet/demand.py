"""Demand of pools that exceeds the capacity of their own VMs."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hyssopway.control.team_usage import TeamUsage

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hyssopway.control import ControlState

# Queues reach five times their mean for some seconds; shorter peaks are over before a VM has been moved.
SMOOTHING_S = 10.0


@dataclass(slots=True, kw_only=True)
class Demand:
    """Exponentially smoothed demand; kept in memory, so a new leader starts empty.

    Attributes:
        cores: Smoothed number of cores that pending jobs wait for, by pool.
        noted_at: Local time of the last sample.
    """

    cores: dict[str, float] = field(default_factory=dict)
    noted_at: float = 0.0

    def add_sample(self, *, waiting: Mapping[str, float], now: float) -> None:
        """Adds a sample of the waiting cores by pool."""
        weight = 1.0 - math.exp(-max(0.0, now - self.noted_at) / SMOOTHING_S)
        for pool in {*self.cores, *waiting}:
            known = self.cores.get(pool, 0.0)
            self.cores[pool] = known + weight * (waiting.get(pool, 0.0) - known)
        self.noted_at = now


def count_waiting_cores(state: ControlState) -> dict[str, float]:
    """Returns the declared cores of pending jobs by pool, without jobs that the limit of their team blocks.

    Blocked jobs would not run however many VMs are lent.
    """
    cores: dict[str, float] = {}
    document = state.document()
    if document is None:
        return cores
    usage: dict[str, TeamUsage] = {}
    for job in state.indexes.pending.values():
        if job.team not in usage:
            running = state.indexes.usage.get(job.team) or TeamUsage()
            usage[job.team] = TeamUsage(tasks=running.tasks, resources=running.resources)
        used, team = usage[job.team], document.team(name=job.team)
        if team is None or used.tasks >= team.max_running:
            continue
        if not (used.resources + job.spec.resources).fits_in(team.limit):
            continue
        used.add(job.spec.resources)
        cores[job.spec.pool] = cores.get(job.spec.pool, 0.0) + job.spec.resources.cores
    return cores


__all__ = ["SMOOTHING_S", "Demand", "count_waiting_cores"]
