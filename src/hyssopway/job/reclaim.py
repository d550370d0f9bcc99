"""Takes capacity back for urgent work and for teams below their share."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import islice
from typing import TYPE_CHECKING

from hyssopway.control.command import ReclaimRun
from hyssopway.control.record import ReclaimAction

from .pending_queues import GroupKey
from .planner import Planner
from .shares import fair_shares

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hyssopway.document import Resources

# Without a band around the target two teams would take the same VM from each other in turn.
HYSTERESIS = 0.05

# A throttled task shows that it is not needed at full speed; then it is stopped.
THROTTLE_S = 2.0

# After this a reclaim that made no room is tried elsewhere.
DEAL_S = 5.0
# Order, end and report take about 0.2 s over a waiting sync. Three tries fit into the 3.3 s in which urgent
# work must start; one run took 5.03 s when the first deal made no room.
URGENT_DEAL_S = 1.0

# A run that was asked to end makes no more room when it is asked again.
ENDING = (ReclaimAction.CHECKPOINT, ReclaimAction.STOP)

MAX_DEALS = 50
MAX_CANDIDATES = 300


@dataclass(frozen=True, slots=True, kw_only=True)
class Deal:
    """Runs that end so that one job can start.

    Attributes:
        key: Group of the job.
        victims: Jobs whose runs end.
        until: Local time after which the deal is forgotten.
    """

    key: GroupKey
    victims: tuple[str, ...]
    until: float


@dataclass(slots=True, kw_only=True)
class Reclaimer:
    """Chooses runs that make room.

    Attributes:
        planner: Present view of the fleet.
        deals: Reclaims in progress.
        throttled: Local time at which a job was throttled.
    """

    planner: Planner
    deals: list[Deal] = field(default_factory=list)
    throttled: dict[str, float] = field(default_factory=dict)

    def plan(self) -> list[ReclaimRun]:
        """Returns reclaims for the groups that fitted nowhere."""
        self._forget()
        targets = self.targets()
        shares = {team: self.planner.share(team) for team in targets}
        commands: list[ReclaimRun] = []
        for key in self.planner.blocked:
            commands += self._serve(key, targets=targets, shares=shares)
        return commands

    def targets(self) -> dict[str, float]:
        """Returns the fair share of each team that holds or asks for something."""
        planner = self.planner
        demands = {team: planner.share(team) for team, usage in planner.usage.items() if usage.tasks}
        for key, count in planner.queues.counts.items():
            asked = key.resources.dominant_share(planner.total) * count
            demands[key.team] = demands.get(key.team, 0.0) + asked
        capped = {team: min(demand, self._most(team)) for team, demand in demands.items()}
        return fair_shares(weights={team: planner.weight(team) for team in capped}, demands=capped)

    def _most(self, team: str) -> float:
        document = self.planner.state.document()
        found = document.team(name=team) if document else None
        return found.limit.dominant_share(self.planner.total) if found else 0.0

    def _serve(
        self, key: GroupKey, *, targets: dict[str, float], shares: dict[str, float]
    ) -> list[ReclaimRun]:
        commands: list[ReclaimRun] = []
        need = key.resources
        part = need.dominant_share(self.planner.total)
        waiting = self.planner.queues.counts.get(key, 0) - sum(deal.key == key for deal in self.deals)
        for _ in range(min(waiting, MAX_DEALS - len(self.deals))):
            share, target = shares.get(key.team, 0.0), targets.get(key.team, 0.0)
            if not key.urgent and share + part > target * (1 + HYSTERESIS):
                break
            if not key.urgent and share > target * (1 - HYSTERESIS):
                break
            found = self._make_room(key, need=need, targets=targets, shares=shares)
            commands += found
            if not found or found[0].action is ReclaimAction.THROTTLE:
                break
            shares[key.team] = share + part
        return commands

    def _make_room(
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
                until = now + (URGENT_DEAL_S if key.urgent else DEAL_S)
                self.deals.append(Deal(key=key, victims=tuple(victims), until=until))
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
        waited = all(now - self.throttled.get(job_id, now) >= THROTTLE_S for job_id in victims)
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
        """Returns runs on one VM that make room together, the youngest first."""
        view = self.planner.view
        gathered: dict[str, tuple[Resources, list[str]]] = {}
        for team in sorted(shares, key=lambda name: targets[name] - shares[name]):
            if not key.urgent and shares[team] <= targets[team] * (1 + HYSTERESIS):
                break
            for job_id in islice(
                self._candidates(key, team=team, checkpointable=checkpointable), MAX_CANDIDATES
            ):
                placed = view.placed[job_id]
                free, chosen = gathered.get(placed.vm) or (view.free_on(placed.vm), [])
                free = free + placed.need
                chosen.append(job_id)
                gathered[placed.vm] = (free, chosen)
                if need.fits_in(free):
                    return chosen
        return []

    def _candidates(self, key: GroupKey, *, team: str, checkpointable: bool) -> Iterator[str]:
        if team == key.team and not key.urgent:
            return
        busy = {job_id for deal in self.deals for job_id in deal.victims}
        jobs, view = self.planner.state.tables.jobs, self.planner.view
        for job_id in reversed(view.held.get((key.pool, team), {})):
            job = jobs.get(job_id)
            # A start of this round is not agreed yet and cannot be reclaimed.
            if job is None or job.run is None or job.cancelling or job.spec.urgent or job_id in busy:
                continue
            if job.run.reclaim in ENDING:
                continue
            if job.spec.checkpointable is checkpointable and view.placed[job_id].vm in view.where:
                yield job_id

    def _command(self, job_id: str, *, key: GroupKey, action: ReclaimAction) -> ReclaimRun:
        placed = self.planner.view.placed[job_id]
        rule = "urgent work" if key.urgent else "share"
        reason = (
            f"{rule} of team {key.team} at {self.planner.share(key.team):.1%}; "
            f"team {placed.team} holds {self.planner.share(placed.team):.1%}"
        )
        return ReclaimRun(job_id=job_id, epoch=placed.epoch, action=action, reason=reason)

    def _forget(self) -> None:
        now = self.planner.clock()
        placed = self.planner.view.placed
        self.deals = [
            deal
            for deal in self.deals
            if now < deal.until and any(job_id in placed for job_id in deal.victims)
        ]
        self.throttled = {job_id: at for job_id, at in self.throttled.items() if job_id in placed}


__all__ = ["Reclaimer"]
