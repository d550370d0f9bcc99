"""Places pending jobs on VMs while this daemon leads."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hyssopway.control.command import StartRun
from hyssopway.control.record import VmState, ZoneStatus
from hyssopway.document import Resources
from hyssopway.event import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.control.record import Job, Vm
    from hyssopway.replica import Replica, Submitter

ROUND_S = 0.05
SUBMIT_TIMEOUT_S = 2.0


class JobScheduler:
    """Chooses a VM for each pending job.

    Attributes:
        replica: Agreed state.
        submitter: Way to the agreed state.
        leads: Tells whether this daemon leads.
    """

    __slots__ = ("leads", "replica", "submitter")

    def __init__(self, *, replica: Replica, submitter: Submitter, leads: Callable[[], bool]) -> None:
        self.replica = replica
        self.submitter = submitter
        self.leads = leads

    async def run(self) -> None:
        """Schedules for as long as the daemon runs."""
        while True:
            if self.leads():
                await self._schedule_once()
            await asyncio.sleep(ROUND_S)

    async def _schedule_once(self) -> None:
        # State time stands still while nothing is agreed; a job would then wait for ever.
        now_ms = max(self.replica.state.tables.now_ms, self.submitter.wall_ms())
        pending = [job for job in self.replica.state.indexes.pending.values() if job.not_before_ms <= now_ms]
        pending.sort(key=lambda job: (not job.spec.urgent, job.accepted_index))
        free = {vm.name: self._free(vm) for vm in self._open_vms()}
        proposals = []
        for job in pending:
            vm = self._choose(job, free=free)
            if vm is not None:
                free[vm.name] = free[vm.name] - job.spec.resources
                proposals.append(self._start(job, vm=vm, free=free[vm.name]))
        await asyncio.gather(*proposals)

    async def _start(self, job: Job, *, vm: Vm, free: Resources) -> None:
        reason = f"most free cores in pool {vm.pool}: {free.cores:g} left"
        command = StartRun(
            job_id=job.job_id, epoch=job.runs + 1, vm=vm.name, vm_epoch=vm.epoch, reason=reason
        )
        result = await self.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S)
        if result.is_ok():
            log_event(Event.JOB_PLACED, job=job.job_id, epoch=command.epoch, vm=vm.name, reason=reason)

    def _choose(self, job: Job, *, free: dict[str, Resources]) -> Vm | None:
        vms = self.replica.state.tables.vms
        fitting = [
            vms[name]
            for name, left in free.items()
            if vms[name].pool == job.spec.pool and job.spec.resources.fits_in(left)
        ]
        return max(fitting, key=lambda vm: (free[vm.name].cores, vm.name), default=None)

    def _open_vms(self) -> list[Vm]:
        tables = self.replica.state.tables
        return [
            vm
            for vm in tables.vms.values()
            if vm.state is VmState.READY and tables.zones[vm.zone].status is not ZoneStatus.WITHDRAWN
        ]

    def _free(self, vm: Vm) -> Resources:
        state = self.replica.state
        used = Resources()
        for job_id in state.indexes.running.get(vm.name, ()):
            used = used + state.tables.jobs[job_id].spec.resources
        return vm.capacity - used


__all__ = ["JobScheduler"]
