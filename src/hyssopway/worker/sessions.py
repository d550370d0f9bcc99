"""Sessions of the workers whose home is this daemon: leases, orders and reports."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from math import isinf
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from hyssopway.control.apply.waves import may_still_reboot
from hyssopway.control.command import ChangeVm, RegisterVm
from hyssopway.control.record import JobStatus, ReclaimAction, RunOutcome, VmState, ZoneStatus
from hyssopway.document import JobPolicy
from hyssopway.event import Event, log_event
from hyssopway.replica import AUTHORITY_TTL_S
from hyssopway.result import Failure, ResultCode

from .messages import StartOrder, SyncReply
from .run_reports import RunReports
from .session import WorkerSession
from .throttling import select_throttled

if TYPE_CHECKING:
    from hyssopway.clock import Clock
    from hyssopway.control.record import Job, Vm
    from hyssopway.replica import Freshness, Replica, Submitter

    from .messages import SyncRequest
    from .run_reports import RunKey

CountRequests = Callable[[str, int | None], Awaitable[int | None]]

WORKER_LEASE_S = 4.0
SUBMIT_TIMEOUT_S = 2.0
CATCH_UP_TIMEOUT_S = 1.0
COVER_TIMEOUT_S = 0.25

# The lease of 4 s must outlast this wait, the worker's timeout of 2.5 s and a sync with the next entry.
MAX_WAIT_S = 1.0

# Shorter wait while a VM drains, because the end of its drain is only detected at a sync.
DRAIN_WAIT_S = 0.25

# A run that did not start for this long is abandoned, since its placement is out of date.
START_WINDOW_S = 10.0

# Beyond this number of tracked runs, those that have ended are dropped.
MAX_TRACKED_RUNS = 1000


class WorkerSessions:
    """Sends start orders to workers, renews their leases and reports the ends of runs.

    Attributes:
        own_name: Name of this daemon.
        replica: Replicated state.
        freshness: Age of the replicated state and the index up to which the leader confirmed it.
        submitter: Submits commands to the replicated state.
        clock: Monotonic seconds.
        sessions: Sessions by VM.
        reports: Submissions of ended runs.
        first_seen: Local time at which a run was first found not started on its worker.
        count_requests: Counts the requests in progress on a VM's endpoints, given the VM's own count; returns
            None when the number is not known.
    """

    __slots__ = (
        "clock",
        "count_requests",
        "first_seen",
        "freshness",
        "own_name",
        "replica",
        "reports",
        "sessions",
        "submitter",
    )

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
        self.count_requests = count_requests or _count_zero
        self.sessions: dict[str, WorkerSession] = {}
        self.reports = RunReports(submitter=submitter)
        self.first_seen: dict[RunKey, float] = {}

    async def sync(self, *, vm: str, request: SyncRequest) -> Result[SyncReply, Failure]:
        """Handles the sync request of a worker."""
        refusal = await self._catch_up(request) or await self._register(vm=vm, request=request)
        if refusal is not None:
            return Error(refusal)
        acknowledged = await self.reports.submit_and_wait(vm=vm, ended=request.ended)
        await self._mark_drained_if_empty(vm=vm, request=request)
        waker = asyncio.Event()
        try:
            return await self._wait_for_orders(vm=vm, request=request, acknowledged=acknowledged, waker=waker)
        finally:
            if self.replica.vm_wakers.get(vm) is waker:
                del self.replica.vm_wakers[vm]

    async def _wait_for_orders(
        self, *, vm: str, request: SyncRequest, acknowledged: list[str], waker: asyncio.Event
    ) -> Result[SyncReply, Failure]:
        """Replies as soon as there are new orders, and otherwise at the end of the wait."""
        draining = self.replica.state.tables.vms[vm].state is VmState.DRAINING
        wait_s = min(request.wait_s, DRAIN_WAIT_S if draining else MAX_WAIT_S)
        deadline = self.clock() + wait_s
        session: WorkerSession | None = None
        while True:
            waker.clear()
            await self._await_start_confirmation(vm=vm, request=request)
            # Without an await up to the reply, all orders derive from one state and the worker's latest report.
            refusal = self._check_current(vm=vm, request=request, session=session)
            if refusal is not None:
                return Error(refusal)
            if session is None:
                session = self._open_session(vm=vm, request=request)
                # Wakes the previous waiting request, which this one has overtaken.
                self.replica.wake_vm(vm)
                self.replica.vm_wakers[vm] = waker
            reply = self._build_reply(session, acknowledged=acknowledged)
            orders = (reply.stop, reply.checkpoint, reply.throttle)
            left_s = deadline - self.clock()
            if left_s <= 0 or reply.start or request.ended or orders != session.handed:
                session.handed = orders
                return Ok(reply)
            with suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await waker.wait()

    def _check_current(
        self, *, vm: str, request: SyncRequest, session: WorkerSession | None
    ) -> Failure | None:
        """Refuses a request that a later one overtook, at this home or at another."""
        latest = self.sessions.get(vm)
        if latest is not None and latest is not session and (session or latest.overtakes(request)):
            message = f"sync {request.number} of VM {vm} was overtaken by sync {latest.report.number}"
            return Failure(code=ResultCode.SYNC_OVERTAKEN, message=message)
        record = self.replica.state.tables.vms[vm]
        if record.home != self.own_name or record.boot_id != request.boot_id:
            message = f"VM {vm} syncs with {record.home} now"
            return Failure(code=ResultCode.SYNC_OVERTAKEN, message=message)
        return None

    def _open_session(self, *, vm: str, request: SyncRequest) -> WorkerSession:
        now = self.clock()
        former = self.sessions.get(vm)
        session = WorkerSession(
            vm=vm,
            report=request,
            synced_at=now,
            lease_until=max(former.lease_until if former else 0.0, now),
            handed=former.handed if former and former.report.boot_id == request.boot_id else ([], [], []),
        )
        self.sessions[vm] = session
        return session

    def _build_reply(self, session: WorkerSession, *, acknowledged: list[str]) -> SyncReply:
        vm, request = session.vm, session.report
        record = self.replica.state.tables.vms[vm]
        lease_s = WORKER_LEASE_S if self._may_renew_leases() else 0.0
        # The worker counts the lease from when it sent the request, which is earlier than `synced_at`.
        session.lease_until = max(session.lease_until, session.synced_at + lease_s)
        return SyncReply(
            lease_s=lease_s,
            start=self._build_start_orders(vm=record, request=request),
            stop=self._list_stops(vm=vm, request=request),
            checkpoint=self._list_checkpoints(vm=vm, request=request),
            throttle=select_throttled(
                request, reclaimed=self._list_reclaimed(request, action=ReclaimAction.THROTTLE)
            ),
            acknowledged=acknowledged,
            leave=record.state in (VmState.DRAINING, VmState.DRAINED),
            state_index=self.replica.applied_index,
        )

    def jobs_on(self, vm: str) -> list[Job]:
        """Returns the jobs whose run is on a VM."""
        jobs = self.replica.state.tables.jobs
        ids = self.replica.state.indexes.running.get(vm, ())
        return [jobs[job_id] for job_id in sorted(ids) if jobs[job_id].status is JobStatus.RUNNING]

    async def _catch_up(self, request: SyncRequest) -> Failure | None:
        """Refuses a worker that has seen a later state than this home has applied.

        A home that lags behind would start a run again that the worker ended through its previous home.
        """
        await self.replica.wait_beyond(request.seen_index - 1, timeout_s=CATCH_UP_TIMEOUT_S)
        if self.replica.applied_index < request.seen_index or isinf(self.freshness.age_s):
            message = f"state at index {self.replica.applied_index} is behind {request.seen_index}"
            return Failure(code=ResultCode.REPLICA_BEHIND, message=message, retry_after_s=0.5)
        return None

    async def _await_start_confirmation(self, *, vm: str, request: SyncRequest) -> None:
        """Waits until the leader has confirmed the runs that are about to start.

        The leader revokes runs that it never confirmed to a home that became silent.
        """
        reported = _list_reported_runs(request)
        runs = [
            job.run for job in self.jobs_on(vm) if job.run and (job.job_id, job.run.epoch) not in reported
        ]
        index = max((run.started_index for run in runs), default=0)
        if index > self.freshness.covered_index and self.freshness.is_valid:
            await self.freshness.wait_covered(index, timeout_s=COVER_TIMEOUT_S)

    async def _register(self, *, vm: str, request: SyncRequest) -> Failure | None:
        record = self.replica.state.tables.vms.get(vm)
        if record and record.home == self.own_name and record.boot_id == request.boot_id:
            return await self._restore_from_down(record) if record.state is VmState.DOWN else None
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
            case Result(error=failure):
                return failure
        record = self.replica.state.tables.vms.get(vm)
        if record is None:
            message = f"this daemon has not applied the registration of VM {vm} yet"
            return Failure(code=ResultCode.REPLICA_BEHIND, message=message)
        return await self._restore_from_down(record) if record.state is VmState.DOWN else None

    async def _restore_from_down(self, vm: Vm) -> Failure | None:
        """Moves a VM out of state `down`: to `ready`, or to `drained` if it is under a permit."""
        under_permit = vm.name in self.replica.state.tables.permits
        if (under_permit and self.jobs_on(vm.name)) or may_still_reboot(self.replica.state, vm=vm):
            return None
        command = ChangeVm(
            vm=vm.name,
            state=VmState.DRAINED if under_permit else VmState.READY,
            expected_epoch=vm.epoch,
            reason="worker syncs again",
        )
        await self.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S)
        return None

    async def _mark_drained_if_empty(self, *, vm: str, request: SyncRequest) -> None:
        """Marks a VM as drained when its worker has no tasks and its endpoints have no requests."""
        tables = self.replica.state.tables
        record, permit = tables.vms[vm], tables.permits.get(vm)
        if record.state is not VmState.DRAINING or permit is None or not self.freshness.is_valid:
            return
        if request.running or request.ended or self.replica.state.indexes.running.get(vm):
            return
        if not permit.stop_work and await self.count_requests(vm, request.requests) != 0:
            return
        command = ChangeVm(
            vm=vm, state=VmState.DRAINED, expected_epoch=record.epoch, reason="no task and no request left"
        )
        if (await self.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S)).is_ok():
            log_event(Event.VM_STATE_CHANGED, vm=vm, state=command.state, reason=command.reason)

    def _may_renew_leases(self) -> bool:
        document = self.replica.state.document()
        policy = document.jobs if document else JobPolicy()
        return self.freshness.age_s <= max(policy.cut_off_run_s, AUTHORITY_TTL_S)

    def _build_start_orders(self, *, vm: Vm, request: SyncRequest) -> list[StartOrder]:
        """Returns orders for runs that have not started yet and abandons those that may not start."""
        start_within_s = AUTHORITY_TTL_S - self.freshness.age_s
        if start_within_s <= 0:
            return []
        reported = _list_reported_runs(request)
        jobs = self.jobs_on(vm.name)
        waiting = [job for job in jobs if job.run and (job.job_id, job.run.epoch) not in reported]
        orders = []
        for job in waiting:
            reason = self._explain_no_start(job, vm=vm)
            if reason:
                lost = job.run is not None and job.run.boot_id not in ("", vm.boot_id)
                outcome = RunOutcome.LOST if lost else RunOutcome.STOPPED
                self.reports.abandon(job=job, vm=vm, outcome=outcome, detail=reason)
            elif job.run is not None and job.run.started_index <= self.freshness.covered_index:
                orders.append(_build_start_order(job, start_within_s=start_within_s))
        self._drop_ended_runs()
        return orders

    def _explain_no_start(self, job: Job, *, vm: Vm) -> str:
        """Returns why a run that has not started may not start; empty when it may."""
        if job.run is None:
            return "run ended"
        key = (job.job_id, job.run.epoch)
        seen_at = self.first_seen.setdefault(key, self.clock())
        if key in self.reports.abandoned:
            return "run was abandoned"
        if job.cancelling:
            return "cancelled before its task started"
        if job.run.reclaim in (ReclaimAction.CHECKPOINT, ReclaimAction.STOP):
            return "reclaimed before its task started"
        if job.run.boot_id not in ("", vm.boot_id):
            return "worker restarted"
        if self.replica.state.tables.zones[vm.zone].status is ZoneStatus.WITHDRAWN:
            return f"zone {vm.zone} was withdrawn before the task started"
        if vm.state is VmState.QUARANTINED and not job.run.probe:
            return f"VM {vm.name} was quarantined before the task started"
        if vm.state not in (VmState.READY, VmState.QUARANTINED):
            return f"VM {vm.name} is {vm.state}"
        if self.clock() - seen_at > START_WINDOW_S:
            return f"the task did not start within {START_WINDOW_S:.0f} s"
        return ""

    def _drop_ended_runs(self) -> None:
        """Drops tracked runs that have ended, once there are too many."""
        if len(self.first_seen) + len(self.reports.abandoned) <= MAX_TRACKED_RUNS:
            return
        jobs = self.replica.state.tables.jobs
        seen = set(self.first_seen) | set(self.reports.abandoned)
        live = {key for key in seen if key[0] in jobs and _has_run(jobs[key[0]], epoch=key[1])}
        self.first_seen = {key: at for key, at in self.first_seen.items() if key in live}
        self.reports.drop_recorded(live=live)

    def _list_stops(self, *, vm: str, request: SyncRequest) -> list[str]:
        valid = {
            (job.job_id, job.run.epoch)
            for job in self.jobs_on(vm)
            if job.run is not None and not job.cancelling
        }
        permit = self.replica.state.tables.permits.get(vm)
        if permit is not None and permit.stop_work:
            valid.clear()
        stopped = set(self._list_reclaimed(request, action=ReclaimAction.STOP))
        return [
            task.job_id
            for task in request.running
            if (task.job_id, task.epoch) not in valid or task.job_id in stopped
        ]

    def _list_checkpoints(self, *, vm: str, request: SyncRequest) -> list[str]:
        wanted = self._list_reclaimed(request, action=ReclaimAction.CHECKPOINT)
        if self.replica.state.tables.vms[vm].state is VmState.DRAINING:
            running = {task.job_id for task in request.running}
            wanted += [
                job.job_id
                for job in self.jobs_on(vm)
                if job.job_id in running and job.spec.checkpointable and job.job_id not in wanted
            ]
        stopped = set(self._list_stops(vm=vm, request=request))
        return [job_id for job_id in wanted if job_id not in stopped]

    def _list_reclaimed(self, request: SyncRequest, *, action: ReclaimAction) -> list[str]:
        jobs = self.replica.state.tables.jobs
        runs = {
            task.job_id: (task.epoch, jobs[task.job_id].run)
            for task in request.running
            if task.job_id in jobs
        }
        return [
            job_id
            for job_id, (epoch, run) in runs.items()
            if run and run.epoch == epoch and run.reclaim is action
        ]


def _list_reported_runs(request: SyncRequest) -> set[RunKey]:
    running = {(task.job_id, task.epoch) for task in request.running}
    return running | {(ended.job_id, ended.epoch) for ended in request.ended}


def _has_run(job: Job, *, epoch: int) -> bool:
    return job.run is not None and job.run.epoch == epoch


async def _count_zero(vm: str, reported: int | None) -> int | None:
    return 0


def _build_start_order(job: Job, *, start_within_s: float) -> StartOrder:
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
