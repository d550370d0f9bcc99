"""Sessions of the workers whose home is this daemon."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from hyssopway.control.command import ChangeVm, EndRun, RegisterVm
from hyssopway.control.record import JobStatus, RunOutcome, VmState, ZoneStatus
from hyssopway.document import JobPolicy
from hyssopway.event import Event, log_event
from hyssopway.replica import AUTHORITY_TTL_S
from hyssopway.result import Failure, ResultCode

from .messages import StartOrder, SyncReply
from .session import WorkerSession

if TYPE_CHECKING:
    from hyssopway.clock import Clock
    from hyssopway.control.record import Job
    from hyssopway.replica import Freshness, Replica, Submitter

    from .messages import EndedRun, SyncRequest

CountRequests = Callable[[str], Awaitable[int | None]]

WORKER_LEASE_S = 4.0
SUBMIT_TIMEOUT_S = 2.0


class WorkerSessions:
    """Hands agreed runs to workers, renews their leases and reports their ends.

    Attributes:
        sessions: Sessions by VM.
        count_requests: Counts the requests in progress on a VM's endpoints; None when some are unknown.
    """

    __slots__ = ("clock", "count_requests", "freshness", "own_name", "replica", "sessions", "submitter")

    def __init__(
        self,
        *,
        own_name: str,
        replica: Replica,
        freshness: Freshness,
        submitter: Submitter,
        clock: Clock,
        count_requests: CountRequests | None = None,
    ) -> None:
        self.own_name = own_name
        self.replica = replica
        self.freshness = freshness
        self.submitter = submitter
        self.clock = clock
        self.count_requests = count_requests or _count_none
        self.sessions: dict[str, WorkerSession] = {}

    async def sync(self, *, vm: str, request: SyncRequest) -> Result[SyncReply, Failure]:
        """Answers the request of a worker."""
        refusal = await self._register(vm=vm, request=request)
        if refusal is not None:
            return Error(refusal)
        acknowledged = [ended.job_id for ended in request.ended if await self._report(ended)]
        await self._report_lost(vm=vm, request=request)
        await self._report_drained(vm=vm, request=request)
        now = self.clock()
        lease_s = WORKER_LEASE_S if self._may_renew() else 0.0
        session = self.sessions.get(vm)
        lease_until = max(session.lease_until if session else 0.0, now + lease_s)
        self.sessions[vm] = WorkerSession(vm=vm, report=request, synced_at=now, lease_until=lease_until)
        return Ok(
            SyncReply(
                lease_s=lease_s,
                start=self._starts(vm=vm, request=request),
                stop=self._stops(vm=vm, request=request),
                checkpoint=self._checkpoints(vm=vm, request=request),
                acknowledged=acknowledged,
            )
        )

    async def _register(self, *, vm: str, request: SyncRequest) -> Failure | None:
        known = self.replica.state.tables.vms.get(vm)
        if known and known.home == self.own_name and known.boot_id == request.boot_id:
            return None
        command = RegisterVm(
            vm=vm,
            zone=request.zone,
            rack=request.rack,
            pool=request.pool,
            capacity=request.capacity,
            home=self.own_name,
            boot_id=request.boot_id,
        )
        match await self.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S):
            case Result(tag="ok", ok=outcome):
                log_event(Event.WORKER_CONNECTED, vm=vm, epoch=outcome.generation)
                return None
            case Result(error=failure):
                return failure

    async def _report(self, ended: EndedRun) -> bool:
        command = EndRun(
            job_id=ended.job_id,
            epoch=ended.epoch,
            outcome=ended.outcome,
            detail=ended.detail,
            checkpoint=ended.checkpoint,
        )
        result = await self.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S)
        # A stale epoch means that the report arrived before or that the run was given up.
        return result.is_ok() or result.error.code in (ResultCode.STALE_EPOCH, ResultCode.UNKNOWN_JOB)

    async def _report_lost(self, *, vm: str, request: SyncRequest) -> None:
        """Ends runs that a restarted worker does not know."""
        session = self.sessions.get(vm)
        if session is None or session.report.boot_id == request.boot_id:
            return
        known = {task.job_id for task in request.running} | {ended.job_id for ended in request.ended}
        for job in self._runs_on(vm):
            if job.job_id not in known and job.run is not None:
                command = EndRun(
                    job_id=job.job_id, epoch=job.run.epoch, outcome=RunOutcome.LOST, detail="worker restarted"
                )
                await self.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S)

    async def _report_drained(self, *, vm: str, request: SyncRequest) -> None:
        """Reports a VM as drained when its worker runs nothing and its endpoints have no requests."""
        tables = self.replica.state.tables
        known, permit = tables.vms[vm], tables.permits.get(vm)
        if known.state is not VmState.DRAINING or permit is None or not self.freshness.is_valid:
            return
        if request.running or request.ended or self.replica.state.indexes.running.get(vm):
            return
        if not permit.stop_work and await self.count_requests(vm) != 0:
            return
        command = ChangeVm(
            vm=vm, state=VmState.DRAINED, expected_epoch=known.epoch, reason="no task and no request left"
        )
        if (await self.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S)).is_ok():
            log_event(Event.VM_STATE_CHANGED, vm=vm, state=command.state, reason=command.reason)

    def _may_renew(self) -> bool:
        document = self.replica.state.document()
        policy = document.jobs if document else JobPolicy()
        return self.freshness.age_s <= max(policy.cut_off_run_s, AUTHORITY_TTL_S)

    def _starts(self, *, vm: str, request: SyncRequest) -> list[StartOrder]:
        zone = self.replica.state.tables.zones.get(request.zone)
        start_within_s = AUTHORITY_TTL_S - self.freshness.age_s
        if zone is None or zone.status is ZoneStatus.WITHDRAWN or start_within_s <= 0:
            return []
        known = {(task.job_id, task.epoch) for task in request.running}
        known |= {(ended.job_id, ended.epoch) for ended in request.ended}
        return [
            _to_order(job, start_within_s=start_within_s)
            for job in self._runs_on(vm)
            if job.run is not None and (job.job_id, job.run.epoch) not in known and not job.cancelling
        ]

    def _stops(self, *, vm: str, request: SyncRequest) -> list[str]:
        valid = {
            (job.job_id, job.run.epoch)
            for job in self._runs_on(vm)
            if job.run is not None and not job.cancelling
        }
        permit = self.replica.state.tables.permits.get(vm)
        if permit is not None and permit.stop_work:
            valid.clear()
        return [task.job_id for task in request.running if (task.job_id, task.epoch) not in valid]

    def _checkpoints(self, *, vm: str, request: SyncRequest) -> list[str]:
        if self.replica.state.tables.vms[vm].state is not VmState.DRAINING:
            return []
        stopped = set(self._stops(vm=vm, request=request))
        running = {task.job_id for task in request.running} - stopped
        return [job.job_id for job in self._runs_on(vm) if job.job_id in running and job.spec.checkpointable]

    def _runs_on(self, vm: str) -> list[Job]:
        jobs = self.replica.state.tables.jobs
        ids = self.replica.state.indexes.running.get(vm, ())
        return [jobs[job_id] for job_id in sorted(ids) if jobs[job_id].status is JobStatus.RUNNING]


async def _count_none(vm: str) -> int | None:
    return 0


def _to_order(job: Job, *, start_within_s: float) -> StartOrder:
    return StartOrder(
        job_id=job.job_id,
        epoch=job.runs,
        task_kind=job.spec.task_kind,
        arguments=job.spec.arguments,
        resources=job.spec.resources,
        run_s=job.spec.run_s,
        checkpoint=job.checkpoint,
        start_within_s=start_within_s,
    )


__all__ = ["WORKER_LEASE_S", "WorkerSessions"]
