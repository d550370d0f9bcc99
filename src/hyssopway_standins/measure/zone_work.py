"""Measures the work done during the withdrawal and return of a zone, with the real job scheduler."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import yaml

from hyssopway.control.command import ChangeVm, EndRun, RegisterVm, SetZone
from hyssopway.control.record import JobStatus, RunOutcome, VmState, ZoneStatus
from hyssopway.document import Resources
from hyssopway.fleet import FleetController
from hyssopway_standins.fleet import EXAMPLES, load_example_document, load_sizes, place_vms

from .job_simulation import CAPACITY, STEP_S, JobSimulation

if TYPE_CHECKING:
    from hyssopway.control.record import Job, Vm
    from hyssopway.job import JobScheduler

TEAM = "one"
NEED = Resources(cores=8, memory_gb=8)
# Fraction of the cores of each pool that is requested; the rest of the fleet can take the work of a zone.
DEMAND = 0.8
# A home passes changes of the replicated state to its workers at their next sync, within 0.5 s.
SYNC_STEPS = round(0.5 / STEP_S)
LEAVES_S, RETURNS_S, ENDS_S = 30.0, 150.0, 300.0
# Times at which a VM fails for 20 s. The leader is also replaced once.
FAULTS_S = (40.0, 70.0, 100.0, 160.0, 190.0, 220.0)
DOWN_S = 20.0
NEW_LEADER_S = 45.0


@dataclass(slots=True, kw_only=True)
class ZoneChangeSimulation:
    """Simulation of one deployment.

    Attributes:
        deployment: Name of the example deployment.
        rng: Random source of faults.
        simulation: Simulated jobs and replicated state.
        demand: Requested cores by pool.
        failed: Time at which each failed VM returns.
        accepted: Number of accepted jobs.
        peak_down: Largest number of concurrent planned stops in a pool.
        late_starts: Number of starts in the zone later than 5 s after its withdrawal.
    """

    deployment: str
    rng: random.Random
    simulation: JobSimulation
    demand: dict[str, float] = field(default_factory=dict)
    failed: dict[str, float] = field(default_factory=dict)
    accepted: int = 0
    peak_down: int = 0
    late_starts: int = 0

    async def run(self) -> dict[str, float]:
        """Returns the work done as a fraction of the capacity of the remaining VMs, and the checked counts."""
        zone = self._prepare()
        scheduler, controller = self.simulation.scheduler(), self._controller()
        done = possible = 0.0
        for step in range(round(ENDS_S / STEP_S)):
            self._inject_faults(step, zone=zone)
            if step == round(NEW_LEADER_S / STEP_S):
                # A daemon that does not lead resets its feed, so that it plans from the whole state when it leads.
                self.simulation.replica.state.indexes.feed.reset()
                scheduler, controller = self.simulation.scheduler(), self._controller()
            if step % SYNC_STEPS == 0:
                self._end_drains()
                await controller.control_once()
            self._submit_demand()
            await scheduler.schedule_once()
            self.simulation.step()
            if self.simulation.now >= LEAVES_S:
                done += self._count_running(zone=zone)
                possible += self._count_possible(zone=zone)
        await self._run_to_completion(scheduler, controller)
        jobs = self.simulation.replica.state.tables.jobs.values()
        prefix = f"{self.deployment}_zone_jobs"
        return {
            f"{prefix}_work_share": done / possible,
            f"{prefix}_faults": len(FAULTS_S) + 1.0,
            f"{prefix}_accepted": float(self.accepted),
            f"{prefix}_not_done": float(sum(job.status is not JobStatus.DONE for job in jobs)),
            f"{prefix}_late_starts": float(self.late_starts),
            f"{prefix}_most_planned_down_in_pool_vms": float(self.peak_down),
        }

    def _prepare(self) -> str:
        data = yaml.safe_load((EXAMPLES / self.deployment / "document.yaml").read_text())
        limit = {"cores": 1e6, "memory_gb": 1e6, "accelerators": 0}
        data["teams"] = [{"name": TEAM, "share": 1, "max_running": 1_000_000, "limit": limit}]
        self.simulation.activate_document(yaml.safe_dump(data))
        document = load_example_document(self.deployment)
        for location in place_vms(document=document, sizes=load_sizes(self.deployment)):
            self.simulation.apply(
                RegisterVm(
                    vm=location.name,
                    zone=location.zone,
                    rack=location.rack,
                    pool=location.pool,
                    capacity=CAPACITY,
                    home="h",
                    boot_id="b",
                )
            )
        cores = DEMAND * CAPACITY.cores * load_sizes(self.deployment).workers_per_pool
        self.demand = {pool.name: cores for pool in document.pools if not pool.spare}
        return self.rng.choice(document.zones)

    def _controller(self) -> FleetController:
        return FleetController(
            replica=self.simulation.replica,
            submitter=self.simulation,  # type: ignore[arg-type]
            leads=lambda: True,
            clock=self.simulation.clock,
            now_ms=self.simulation.now_ms,
        )

    def _inject_faults(self, step: int, *, zone: str) -> None:
        at_s = step * STEP_S
        for change_s, status in ((LEAVES_S, ZoneStatus.WITHDRAWN), (RETURNS_S, ZoneStatus.RETURNING)):
            if step == round(change_s / STEP_S):
                self.simulation.apply(
                    SetZone(zone=zone, status=status, request_id=f"z{step}", operator="operator")
                )
        if step in {round(fault_s / STEP_S) for fault_s in FAULTS_S}:
            vms = self.simulation.replica.state.tables.vms.values()
            vm = self.rng.choice([vm for vm in vms if vm.state is VmState.READY and vm.zone != zone])
            self._end_runs(vm, outcome=RunOutcome.LOST, checkpointable=False)
            self._change(vm, VmState.DOWN)
            self.failed[vm.name] = at_s + DOWN_S
        for name in [name for name, until_s in self.failed.items() if until_s <= at_s]:
            del self.failed[name]
            self._change(self.simulation.replica.state.tables.vms[name], VmState.READY)

    def _submit_demand(self) -> None:
        """Submits jobs until the running and pending ones of each pool match its demand."""
        state = self.simulation.replica.state
        asked = Counter(job.spec.pool for job in [*state.indexes.pending.values(), *self._running()])
        for pool, cores in self.demand.items():
            for _ in range(round(cores / NEED.cores) - asked[pool]):
                self.accepted += 1
                self.simulation.accept(
                    f"job-{self.accepted}",
                    team=TEAM,
                    need=NEED,
                    pool=pool,
                    checkpointable=self.accepted % 2 == 0,
                )

    def _running(self) -> list[Job]:
        state = self.simulation.replica.state
        return [state.tables.jobs[job_id] for ids in state.indexes.running.values() for job_id in ids]

    def _end_drains(self) -> None:
        """Checkpoints the checkpointable jobs of draining VMs and reports these VMs as drained."""
        tables = self.simulation.replica.state.tables
        for vm in [tables.vms[name] for name in tables.permits]:
            if vm.state is VmState.DRAINING:
                self._end_runs(vm, outcome=RunOutcome.CHECKPOINTED, checkpointable=True)
                self._change(vm, VmState.DRAINED)
        planned = Counter(tables.vms[name].pool for name in tables.permits)
        self.peak_down = max(self.peak_down, *planned.values(), 0)

    def _end_runs(self, vm: Vm, *, outcome: RunOutcome, checkpointable: bool) -> None:
        state = self.simulation.replica.state
        for job_id in sorted(state.indexes.running.get(vm.name, ())):
            job = state.tables.jobs[job_id]
            if job.run is not None and (job.spec.checkpointable or not checkpointable):
                self.simulation.apply(EndRun(job_id=job_id, epoch=job.run.epoch, outcome=outcome))

    def _change(self, vm: Vm, state: VmState) -> None:
        self.simulation.apply(ChangeVm(vm=vm.name, state=state, expected_epoch=vm.epoch, reason="measure"))

    def _count_running(self, *, zone: str) -> float:
        state = self.simulation.replica.state
        runs = [job.run for job in self._running() if job.run is not None]
        withdrawn = LEAVES_S + 5.0 < self.simulation.now < RETURNS_S
        for run in runs:
            in_zone = state.tables.vms[run.vm].zone == zone
            self.late_starts += withdrawn and in_zone and run.started_ms > (LEAVES_S + 5.0) * 1000
        return len(runs) * NEED.cores

    def _count_possible(self, *, zone: str) -> float:
        closed = self.simulation.now < RETURNS_S
        vms = self.simulation.replica.state.tables.vms.values()
        remaining = sum(vm.state is not VmState.DOWN and not (closed and vm.zone == zone) for vm in vms)
        return min(sum(self.demand.values()), remaining * CAPACITY.cores)

    async def _run_to_completion(self, scheduler: JobScheduler, controller: FleetController) -> None:
        """Runs the simulation until all accepted jobs have ended."""
        for step in range(round(60 / STEP_S)):
            if not self.simulation.replica.state.indexes.pending and not self.simulation.ends:
                return
            if step % SYNC_STEPS == 0:
                self._end_drains()
                await controller.control_once()
            await scheduler.schedule_once()
            self.simulation.step()


async def measure_zone_work(deployment: str, *, seed: int) -> dict[str, float]:
    """Simulates the withdrawal and return of a zone with faults."""
    rng = random.Random(seed)
    simulation = JobSimulation(weights={TEAM: 1.0}, run_s=lambda _: rng.uniform(2, 6))
    return await ZoneChangeSimulation(deployment=deployment, rng=rng, simulation=simulation).run()


__all__ = ["measure_zone_work"]
