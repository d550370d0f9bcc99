"""Reclaims capacity for urgent jobs and for teams below their fair share."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import islice
from typing import TYPE_CHECKING

from hyssopway.control.command import ReclaimRun
from hyssopway.control.record import ReclaimAction
from hyssopway.scheduling.fair_shares import fair_shares

from .pending_queues import GroupKey
from .planner import Planner

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hyssopway.document import Resources

# Without a band around the fair share, two teams would alternately reclaim the same VM from each other.
HYSTERESIS = 0.05

# A run that was throttled for this long is evidently not needed at full speed and is stopped.
THROTTLE_BEFORE_STOP_S = 2.0

# After this time a reclaim that freed no capacity is retried on other runs.
RECLAIM_TIMEOUT_S = 5.0
# A stop order, the end of the run and its report take about 0.2 s over a long-polling sync. Three attempts fit
# into the 3.3 s within which urgent jobs must start; in one run a job took 5.03 s because its first reclaim
# freed no capacity.
URGENT_RECLAIM_TIMEOUT_S = 1.0

# Actions that end a run: reclaiming such a run again frees no more capacity.
ENDING_ACTIONS = (ReclaimAction.CHECKPOINT, ReclaimAction.STOP)

MAX_PENDING_RECLAIMS = 50
MAX_CANDIDATES = 300


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingReclaim:
    """Reclaim in progress: runs that are ended so that one job can start.

    Attributes:
        key: Group of the job to start.
        victims: Jobs whose runs are ended.
        until: Local time at which the reclaim expires.
    """

    key: GroupKey
    victims: tuple[str, ...]
    until: float


@dataclass(slots=True, kw_only=True)
class Reclaimer:
    """Selects the runs to throttle, checkpoint or stop.

    Attributes:
        planner: Scheduler's view of the fleet.
        deals: Reclaims in progress.
        throttled: Local time at which each job was first selected.
    """

    planner: Planner
    deals: list[PendingReclaim] = field(default_factory=list)
    throttled: dict[str, float] = field(default_factory=dict)

    def plan(self) -> list[ReclaimRun]:
        """Returns reclaims for the groups that fitted on no VM."""
        self._drop_finished()
        targets = self.targets()
        shares = {team: self.planner.dominant_share(team) for team in targets}
        commands: list[ReclaimRun] = []
        for key in self.planner.blocked:
            commands += self._reclaim_for_group(key, targets=targets, shares=shares)
        return commands

    def targets(self) -> dict[str, float]:
        """Returns the fair share of each team that holds or demands resources."""
        planner = self.planner
        demands = {team: planner.dominant_share(team) for team, usage in planner.usage.items() if usage.tasks}
        for key, count in planner.queues.counts.items():
            asked = key.resources.dominant_share(planner.total) * count
            demands[key.team] = demands.get(key.team, 0.0) + asked
        capped = {team: min(demand, self._max_share(team)) for team, demand in demands.items()}
        return fair_shares(weights={team: planner.weight(team) for team in capped}, demands=capped)

    def _max_share(self, team: str) -> float:
        document = self.planner.state.document()
        found = document.team(name=team) if document else None
        return found.limit.dominant_share(self.planner.total) if found else 0.0

    def _reclaim_for_group(
        self, key: GroupKey, *, targets: dict[str, float], shares: dict[str, float]
    ) -> list[ReclaimRun]:
        commands: list[ReclaimRun] = []
        need = key.resources
        job_share = need.dominant_share(self.planner.total)
        waiting = self.planner.queues.counts.get(key, 0) - sum(reclaim.key == key for reclaim in self.deals)
        for _ in range(min(waiting, MAX_PENDING_RECLAIMS - len(self.deals))):
            share, target = shares.get(key.team, 0.0), targets.get(key.team, 0.0)
            if not key.urgent and share + job_share > target * (1 + HYSTERESIS):
                break
            if not key.urgent and share > target * (1 - HYSTERESIS):
                break
            found = self._reclaim_for_job(key, need=need, targets=targets, shares=shares)
            commands += found
            if not found or found[0].action is ReclaimAction.THROTTLE:
                break
            shares[key.team] = share + job_share
        return commands

    def _reclaim_for_job(
        self, key: GroupKey, *, need: Resources, targets: dict[str, float], shares: dict[str, float]
    ) -> list[ReclaimRun]:
        for checkpointable in (True, False):
            victims = self._find_victims(
                key, need=need, targets=targets, shares=shares, checkpointable=checkpointable
            )
            if not victims:
                continue
            now = self.planner.clock()
            action = self._choose_action(key, victims=victims, checkpointable=checkpointable)
            if action is not ReclaimAction.THROTTLE:
                until = now + (URGENT_RECLAIM_TIMEOUT_S if key.urgent else RECLAIM_TIMEOUT_S)
                self.deals.append(PendingReclaim(key=key, victims=tuple(victims), until=until))
                for job_id in victims:
                    placed = self.planner.view.placed[job_id]
                    shares[placed.team] = shares.get(placed.team, 0.0) - placed.need.dominant_share(
                        self.planner.total
                    )
            elif all(job_id in self.throttled for job_id in victims):
                return []
            for job_id in victims:
                self.throttled.setdefault(job_id, now)
            return [self._command(job_id, key=key, action=action) for job_id in victims]
        return []

    def _choose_action(self, key: GroupKey, *, victims: list[str], checkpointable: bool) -> ReclaimAction:
        if checkpointable:
            return ReclaimAction.CHECKPOINT
        now = self.planner.clock()
        waited = all(now - self.throttled.get(job_id, now) >= THROTTLE_BEFORE_STOP_S for job_id in victims)
        # Urgent work must start within 3.3 s, which leaves no time to throttle first.
        return ReclaimAction.STOP if key.urgent or waited else ReclaimAction.THROTTLE

    def _find_victims(
        self,
        key: GroupKey,
        *,
        need: Resources,
        targets: dict[str, float],
        shares: dict[str, float],
        checkpointable: bool,
    ) -> list[str]:
        """Returns runs on one VM that together free enough capacity, the youngest first."""
        view = self.planner.view
        by_vm: dict[str, tuple[Resources, list[str]]] = {}
        for team in sorted(shares, key=lambda name: targets[name] - shares[name]):
            if not key.urgent and shares[team] <= targets[team] * (1 + HYSTERESIS):
                break
            for job_id in islice(
                self._candidates(key, team=team, checkpointable=checkpointable), MAX_CANDIDATES
            ):
                placed = view.placed[job_id]
                free, chosen = by_vm.get(placed.vm) or (view.free_capacity(placed.vm), [])
                free = free + placed.need
                chosen.append(job_id)
                by_vm[placed.vm] = (free, chosen)
                if need.fits_in(free):
                    return chosen
        return []

    def _candidates(self, key: GroupKey, *, team: str, checkpointable: bool) -> Iterator[str]:
        if team == key.team and not key.urgent:
            return
        selected = {job_id for reclaim in self.deals for job_id in reclaim.victims}
        jobs, view = self.planner.state.tables.jobs, self.planner.view
        for job_id in reversed(view.held.get((key.pool, team), {})):
            job = jobs.get(job_id)
            # A start of this round is not in the replicated state yet and cannot be reclaimed.
            if job is None or job.run is None or job.cancelling or job.spec.urgent or job_id in selected:
                continue
            if job.run.reclaim in ENDING_ACTIONS:
                continue
            if job.spec.checkpointable is checkpointable and view.placed[job_id].vm in view.where:
                yield job_id

    def _command(self, job_id: str, *, key: GroupKey, action: ReclaimAction) -> ReclaimRun:
        placed = self.planner.view.placed[job_id]
        rule = "urgent work" if key.urgent else "share"
        reason = (
            f"{rule} of team {key.team} at {self.planner.dominant_share(key.team):.1%}; "
            f"team {placed.team} holds {self.planner.dominant_share(placed.team):.1%}"
        )
        return ReclaimRun(job_id=job_id, epoch=placed.epoch, action=action, reason=reason)

    def _drop_finished(self) -> None:
        now = self.planner.clock()
        placed = self.planner.view.placed
        self.deals = [
            reclaim
            for reclaim in self.deals
            if now < reclaim.until and any(job_id in placed for job_id in reclaim.victims)
        ]
        self.throttled = {job_id: at for job_id, at in self.throttled.items() if job_id in placed}


__all__ = ["Reclaimer"]
