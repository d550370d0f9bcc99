"""Baseline scheduler of the job measurements: first come, first served, first fit."""

from __future__ import annotations

from dataclasses import dataclass, field

from hyssopway.control.command import StartRun
from hyssopway.control.record import VmState
from hyssopway.document import Resources

from .job_simulation import JobSimulation

MAX_STARTS = 250


@dataclass(slots=True, kw_only=True)
class FirstFitScheduler:
    """Starts the oldest job on the first VM with enough free resources.

    Has no shares, estimates or quarantine.

    Attributes:
        simulation: Simulated fleet.
        used: Resources in use by VM; recomputed in each round.
    """

    simulation: JobSimulation
    used: dict[str, Resources] = field(default_factory=dict)

    async def schedule_once(self) -> None:
        """Proposes the starts of one round."""
        self.count_usage()
        for start in self.plan():
            await self.simulation.submit(start)

    def count_usage(self) -> None:
        """Recomputes the resources in use on each VM."""
        state = self.simulation.replica.state
        self.used = {}
        for vm, job_ids in state.indexes.running.items():
            for job_id in job_ids:
                self.used[vm] = self.used.get(vm, Resources()) + state.tables.jobs[job_id].spec.resources

    def plan(self) -> list[StartRun]:
        """Returns the starts of one round; a job that fits on no VM blocks the jobs behind it."""
        state = self.simulation.replica.state
        starts: list[StartRun] = []
        for job in state.indexes.pending.values():
            if job.not_before_ms > self.simulation.now_ms():
                continue
            need = job.spec.resources
            for vm in state.tables.vms.values():
                used = self.used.get(vm.name, Resources())
                if vm.state is VmState.READY and (used + need).fits_in(vm.capacity):
                    break
            else:
                break
            self.used[vm.name] = used + need
            starts.append(
                StartRun(job_id=job.job_id, epoch=job.runs + 1, vm=vm.name, vm_epoch=vm.epoch, reason="first")
            )
            if len(starts) >= MAX_STARTS:
                break
        return starts


__all__ = ["FirstFitScheduler"]
