"""Places pending jobs on VMs while this daemon leads."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hyssopway.control.command import ChangeVm, ReclaimRun, RejectJob, StartRun
from hyssopway.control.record import VmState
from hyssopway.event import Event, log_event

from .limit_excess import reclaim_excess
from .planner import Planner
from .quarantine import Quarantine
from .reclaim import Reclaimer

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.clock import Clock
    from hyssopway.replica import Replica, Submitter

    from .usage_reports import UsageReports

Proposal = StartRun | RejectJob | ReclaimRun | ChangeVm

SCHEDULING_INTERVAL_S = 0.05
SUBMIT_TIMEOUT_S = 2.0


class JobScheduler:
    """Starts pending jobs and reclaims capacity for them.

    Attributes:
        replica: Replicated state.
        submitter: Submits commands to the replicated state.
        leads: Returns whether this daemon leads.
        now_ms: Returns the cluster time in milliseconds.
        planner: Selects the runs to start.
        quarantine: Distinguishes faulty VMs from faulty jobs.
        reclaimer: Selects the runs to reclaim.
    """

    __slots__ = ("leads", "now_ms", "planner", "quarantine", "reclaimer", "replica", "submitter")

    def __init__(
        self,
        *,
        replica: Replica,
        submitter: Submitter,
        leads: Callable[[], bool],
        now_ms: Callable[[], int],
        usage_reports: UsageReports,
        clock: Clock,
    ) -> None:
        self.replica = replica
        self.submitter = submitter
        self.leads = leads
        self.now_ms = now_ms
        self.planner = Planner(state=replica.state, usage_reports=usage_reports, clock=clock)
        self.quarantine = Quarantine(planner=self.planner)
        self.planner.vms_to_avoid = self.quarantine.vms_to_avoid
        self.reclaimer = Reclaimer(planner=self.planner)

    async def run(self) -> None:
        """Runs scheduling rounds for as long as the daemon runs."""
        while True:
            if self.leads():
                await self.schedule_once()
            else:
                # Changes are consumed only while leading; a new leader rebuilds its view from the whole state.
                self.replica.state.indexes.feed.reset()
            await asyncio.sleep(SCHEDULING_INTERVAL_S)

    async def schedule_once(self) -> None:
        """Runs one round: applies changes, then proposes starts, rejections and reclaims."""
        now_ms = self.now_ms()
        self.planner.refresh(state=self.replica.state, now_ms=now_ms)
        changes = self.quarantine.observe(self.planner.ends)
        starts = [*self.quarantine.probe(), *self.planner.plan()]
        commands: list[Proposal] = [
            *changes,
            *starts,
            *self.planner.reject(),
            *self.reclaimer.plan(),
            *reclaim_excess(self.planner),
        ]
        await asyncio.gather(*(self._submit(command) for command in commands))
        for start in starts:
            self.planner.update_job(start.job_id, now_ms=now_ms)

    async def _submit(self, command: Proposal) -> None:
        result = await self.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S)
        if result.is_error():
            return
        match command:
            case StartRun():
                log_event(
                    Event.JOB_PLACED,
                    job=command.job_id,
                    epoch=command.epoch,
                    vm=command.vm,
                    reason=command.reason,
                )
            case ChangeVm(state=VmState.QUARANTINED):
                log_event(Event.VM_QUARANTINED, vm=command.vm, reason=command.reason)
            case ChangeVm():
                log_event(Event.VM_RELEASED, vm=command.vm)
            case RejectJob():
                log_event(Event.JOB_ENDED, job=command.job_id, outcome=command.reason)
            case ReclaimRun():
                log_event(
                    Event.JOB_RECLAIMED,
                    job=command.job_id,
                    vm=result.ok.reference,
                    action=command.action,
                    reason=command.reason,
                )


__all__ = ["JobScheduler"]
