"""Selects the pending jobs to start and the VMs to start them on."""

from __future__ import annotations

from heapq import heapify, heappop, heappush, heapreplace
from typing import TYPE_CHECKING

from hyssopway.control.command import RejectJob, StartRun
from hyssopway.control.record import JobStatus, ZoneStatus
from hyssopway.control.team_usage import TeamUsage
from hyssopway.document import JobPolicy, Resources

from .estimates import Estimates
from .fleet_view import FleetView
from .pending_queues import PendingQueues

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.clock import Clock
    from hyssopway.control import ControlState
    from hyssopway.control.record import Job, Vm
    from hyssopway.control.run_end import RunEnd

    from .pending_queues import GroupKey
    from .usage_reports import UsageReports

# Bounds the length of a round, so that an urgent job does not wait long for the next one. At 0.05 s a round
# this allows far more than the 500 starts a second that the replicated state is designed for.
MAX_STARTS = 250
MAX_REJECTIONS = 100

# A returning zone is filled in steps, so that a second failure there affects little work.
RAMP_UP_STEP = 0.25
RAMP_UP_STEP_S = 2.0


class Planner:
    """Tracks the replicated state and selects the runs to start.

    Attributes:
        state: Replicated state.
        usage_reports: Last usage reports of workers.
        clock: Monotonic seconds.
        view: Placed runs and free capacity.
        queues: Pending jobs.
        estimates: Estimated usage by task kind.
        usage: Resources that each team holds, including the starts of this round.
        total: Capacity of all VMs that accept work.
        ends: Runs that ended since the last round.
        vms_to_avoid: Returns the VMs that a job should not run on again.
        find_silent_homes: Returns the homes that are out of contact.
        blocked: Groups that fitted on no VM in this round, in the order in which they were tried.
        returning_since: Local time at which a zone was first seen returning, by zone.
    """

    __slots__ = (
        "blocked",
        "clock",
        "ends",
        "estimates",
        "find_silent_homes",
        "queues",
        "returning_since",
        "state",
        "total",
        "usage",
        "usage_reports",
        "view",
        "vms_to_avoid",
    )

    def __init__(self, *, state: ControlState, usage_reports: UsageReports, clock: Clock) -> None:
        self.state = state
        self.usage_reports = usage_reports
        self.clock = clock
        self.view = FleetView(tables=state.tables)
        self.queues = PendingQueues()
        self.estimates = Estimates()
        self.usage: dict[str, TeamUsage] = {}
        self.total = Resources()
        self.blocked: list[GroupKey] = []
        self.ends: list[RunEnd] = []
        self.vms_to_avoid: Callable[[Job], list[str]] = lambda _: []
        self.find_silent_homes: Callable[[], frozenset[str]] = frozenset
        self.returning_since: dict[str, float] = {}

    def refresh(self, *, state: ControlState, now_ms: int) -> None:
        """Applies the changes since the last round; rebuilds everything after a snapshot was restored."""
        changes = state.indexes.feed.drain()
        if changes.everything or state is not self.state:
            self._rebuild(state, now_ms=now_ms)
        self.ends = changes.ends
        for end in changes.ends:
            task = self.usage_reports.find(vm=end.vm, job_id=end.job_id, epoch=end.epoch)
            if task is not None and end.outcome == "done":
                self.estimates.observe(
                    team=end.team, task_kind=end.task_kind, usage=task.usage, ran_s=task.ran_s
                )
        if changes.zones:
            changed = [vm.name for vm in state.tables.vms.values() if vm.zone in changes.zones]
            changes.vms.update(dict.fromkeys(changed))
        for name in changes.vms:
            self.view.refresh_vm(name)
        for job_id in (*changes.jobs, *self.queues.pop_due(now_ms=now_ms)):
            self.update_job(job_id, now_ms=now_ms)
        self._update_zone_ramp_up()
        self.view.end_exclusions(now=self.clock())
        self.view.set_silent_homes(self.find_silent_homes())
        self.total = self.view.total()
        self.usage = {
            team: TeamUsage(tasks=usage.tasks, resources=usage.resources)
            for team, usage in state.indexes.usage.items()
        }

    def update_job(self, job_id: str, *, now_ms: int) -> None:
        """Updates queues and reserved capacity from the record of a job."""
        job = self.state.tables.jobs.get(job_id)
        if job is not None and job.status is JobStatus.PENDING:
            self.view.release(job_id)
            self.queues.add(job, now_ms=now_ms)
            return
        self.queues.remove(job_id)
        if job is None or job.run is None:
            self.view.release(job_id)
            return
        placed = self.view.placed.get(job_id)
        if placed is None or (placed.vm, placed.epoch) != (job.run.vm, job.run.epoch):
            self.view.place(job, vm=job.run.vm, need=self.need(job), epoch=job.run.epoch)

    def plan(self) -> list[StartRun]:
        """Returns the runs to start: urgent jobs first, then jobs of the team furthest below its share."""
        self.blocked = []
        starts: list[StartRun] = []
        for urgent in (True, False):
            heaps = self.queues.group_heaps_by_team(urgent=urgent)
            order = [(self.weighted_share(team), team) for team in heaps]
            heapify(order)
            while order and len(starts) < MAX_STARTS:
                team = heappop(order)[1]
                start = self._start_next_of_team(heaps[team])
                if start is not None:
                    starts.append(start)
                    heappush(order, (self.weighted_share(team), team))
        return starts

    def reject(self) -> list[RejectJob]:
        """Returns rejections of the jobs of blocked groups that can never run."""
        rejected: list[RejectJob] = []
        for key in self.blocked:
            reason = self._explain_unschedulable(key)
            if reason and len(rejected) < MAX_REJECTIONS:
                left = MAX_REJECTIONS - len(rejected)
                rejected += [
                    RejectJob(job_id=item[1], reason=reason) for item in self.queues.groups[key][:left]
                ]
        return rejected

    def need(self, job: Job) -> Resources:
        """Returns the capacity to reserve for a job."""
        document = self.state.document()
        policy = document.jobs if document else JobPolicy()
        largest = self.state.indexes.shapes.largest(pool=job.spec.pool)
        return self.estimates.need(job.spec, team=job.team, margin=policy.estimate_margin, largest=largest)

    def dominant_share(self, team: str) -> float:
        """Returns the dominant share that a team holds."""
        usage = self.usage.get(team)
        return usage.resources.dominant_share(self.total) if usage else 0.0

    def weighted_share(self, team: str) -> float:
        """Returns the dominant share of a team divided by its weight."""
        return self.dominant_share(team) / self.weight(team)

    def weight(self, team: str) -> float:
        """Returns the weight of a team."""
        document = self.state.document()
        found = document.team(name=team) if document else None
        return found.share if found else 1.0

    def _rebuild(self, state: ControlState, *, now_ms: int) -> None:
        self.state = state
        self.view = FleetView(tables=state.tables)
        self.queues = PendingQueues()
        for name in state.tables.vms:
            self.view.refresh_vm(name)
        for ids in state.indexes.running.values():
            for job_id in sorted(ids):
                self.update_job(job_id, now_ms=now_ms)
        for job in state.indexes.pending.values():
            self.queues.add(job, now_ms=now_ms)

    def _update_zone_ramp_up(self) -> None:
        now = self.clock()
        for zone in self.state.tables.zones.values():
            if zone.status is not ZoneStatus.RETURNING:
                self.returning_since.pop(zone.name, None)
                continue
            since = self.returning_since.setdefault(zone.name, now)
            steps = 1 + int((now - since) / RAMP_UP_STEP_S)
            self.view.parts[zone.name] = min(1.0, RAMP_UP_STEP * steps)
        for name in set(self.view.parts) - set(self.returning_since):
            del self.view.parts[name]

    def _start_next_of_team(self, heap: list[tuple[int, GroupKey]]) -> StartRun | None:
        """Starts the oldest job of a team that fits; removes groups that are empty or do not fit."""
        while heap:
            index, key = heap[0]
            head = self.queues.head(key)
            if head is None:
                heappop(heap)
            elif head[0] != index:
                heapreplace(heap, (head[0], key))
            else:
                job = self.state.tables.jobs[head[1]]
                start = self._try_start(job, key=key)
                if start is not None:
                    return start
                heappop(heap)
        return None

    def _try_start(self, job: Job, *, key: GroupKey) -> StartRun | None:
        document = self.state.document()
        has_team = document is not None and document.team(name=job.team) is not None
        if has_team and not self.fits_team_limit(job):
            return None
        need = self.need(job)
        avoided = self.vms_to_avoid(job)
        vm = self.view.find(pool=key.pool, need=need, avoid=avoided) if has_team else None
        if vm is None:
            self.blocked.append(key)
            return None
        reason = self._explain(job, vm=vm, need=need)
        if avoided:
            reason += f"; avoided if other VMs fit, because the job failed there: {', '.join(avoided)}"
        return self._place(job, vm=vm, need=need, reason=reason)

    def start_probe(self, job: Job, *, vm: Vm) -> StartRun:
        """Returns a probe run that tests a quarantined VM."""
        reason = f"probe of quarantined VM {vm.name}: {vm.reason}"
        return self._place(job, vm=vm, need=job.spec.resources, reason=reason, probe=True)

    def fits_team_limit(self, job: Job) -> bool:
        """Returns whether a job fits within the upper limit of its team."""
        document = self.state.document()
        team = document.team(name=job.team) if document else None
        usage = self.usage.get(job.team, TeamUsage())
        after = usage.resources + job.spec.resources
        return team is not None and usage.tasks < team.max_running and after.fits_in(team.limit)

    def _place(self, job: Job, *, vm: Vm, need: Resources, reason: str, probe: bool = False) -> StartRun:
        self.usage.setdefault(job.team, TeamUsage()).add(job.spec.resources)
        self.queues.remove(job.job_id)
        self.view.place(job, vm=vm.name, need=need, epoch=job.runs + 1)
        return StartRun(
            job_id=job.job_id, epoch=job.runs + 1, vm=vm.name, vm_epoch=vm.epoch, reason=reason, probe=probe
        )

    def _explain(self, job: Job, *, vm: Vm, need: Resources) -> str:
        rule = "urgent first" if job.spec.urgent else "lowest weighted dominant share"
        free = self.view.free_capacity(vm.name)
        zones = self.view.zones[job.spec.pool]
        free_by_zone = ", ".join(f"{name} {zone.free_fraction:.0%}" for name, zone in sorted(zones.items()))
        basis = "declared" if need == job.spec.resources else f"estimated from {job.spec.resources.cores:g}"
        return (
            f"{rule}: team {job.team} holds {self.dominant_share(job.team):.1%} at weight {self.weight(job.team):g}; "
            f"{need.cores:g} cores ({basis}) of {free.cores:g} free; "
            f"emptiest zone that fits; free by zone: {free_by_zone}"
        )

    def _explain_unschedulable(self, key: GroupKey) -> str:
        document = self.state.document()
        if document is None:
            return ""
        if document.team(name=key.team) is None:
            return f"team {key.team} is no longer in the production document"
        if document.pool(name=key.pool) is None:
            return f"pool {key.pool} is no longer in the production document"
        if self.state.indexes.shapes.exceeds_every_vm(pool=key.pool, need=key.resources):
            return f"the job is bigger than every VM of pool {key.pool}"
        return ""


__all__ = ["Planner"]
