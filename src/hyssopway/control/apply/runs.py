"""Applies commands that start, end and reclaim runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Ok, Result

from hyssopway.control.change import Change
from hyssopway.control.record import JobStatus, LostRun, Run, RunOutcome, VmState, ZoneStatus
from hyssopway.control.run_end import RunEnd
from hyssopway.control.team_usage import TeamUsage
from hyssopway.document import JobPolicy
from hyssopway.result import ResultCode

from .jobs import finish_job
from .refusal import refuse

if TYPE_CHECKING:
    from hyssopway.control.command import EndRun, ReclaimRun, StartRun
    from hyssopway.control.record import Job
    from hyssopway.control.state import ControlState
    from hyssopway.result import Failure

MAX_BACKOFF_DOUBLINGS = 8
# A job fails when this many worker processes have ended while they ran it.
MAX_CRASHES = 3
# A run that was lost after a longer time did not end its worker. Longer than the time until a lost home is noticed.
PROBATION_MS = 150_000


def start_run(state: ControlState, command: StartRun) -> Result[Change, Failure]:
    """Starts a run if the job, the VM, its zone and the upper limit of the team allow it."""
    job = state.tables.jobs.get(command.job_id)
    if job is None or job.status is not JobStatus.PENDING:
        return refuse(ResultCode.UNKNOWN_JOB, f"job {command.job_id!r} is not pending")
    if command.epoch != job.runs + 1:
        return refuse(
            ResultCode.STALE_EPOCH, f"next run of job {job.job_id} is {job.runs + 1}, not {command.epoch}"
        )
    refusal = _check_vm(state, command, pool=job.spec.pool) or _check_limit(state, job=job)
    if refusal is not None:
        return refusal
    job.runs = command.epoch
    job.status = JobStatus.RUNNING
    job.run = Run(
        epoch=command.epoch,
        vm=command.vm,
        started_ms=state.tables.now_ms,
        reason=command.reason,
        probe=command.probe,
        boot_id=state.tables.vms[command.vm].boot_id,
        started_index=state.applied_index,
        home_epoch=state.tables.vms[command.vm].home_epoch,
    )
    job.add_history(f"run {command.epoch} on {command.vm}: {command.reason}")
    state.indexes.add_run(job=job, vm=command.vm)
    return Ok(Change(generation=command.epoch, reference=job.job_id))


def end_run(state: ControlState, command: EndRun) -> Result[Change, Failure]:
    """Ends a run; a report of an earlier run is refused."""
    job = state.tables.jobs.get(command.job_id)
    if job is None:
        return refuse(ResultCode.UNKNOWN_JOB, f"job {command.job_id!r} does not exist")
    if job.run is None or job.run.epoch != command.epoch:
        return refuse(ResultCode.STALE_EPOCH, f"run {command.epoch} of job {job.job_id} is not in progress")
    refusal = _check_reporter(state, command, vm=job.run.vm)
    if refusal is not None:
        return refusal
    state.indexes.remove_run(job=job, vm=job.run.vm)
    state.indexes.feed.record_run_end(_make_run_end(job, run=job.run, command=command))
    if command.checkpoint:
        job.checkpoint = command.checkpoint
    job.add_history(f"run {command.epoch} on {job.run.vm} {command.outcome}: {command.detail}")
    _apply_run_outcome(state, job=job, command=command)
    return Ok(Change(generation=command.epoch, reference=job.status))


def reclaim_run(state: ControlState, command: ReclaimRun) -> Result[Change, Failure]:
    """Marks a run to be checkpointed, throttled or stopped to free capacity for other jobs."""
    job = state.tables.jobs.get(command.job_id)
    if job is None or job.run is None or job.run.epoch != command.epoch:
        return refuse(ResultCode.STALE_EPOCH, f"run {command.epoch} of {command.job_id!r} is not in progress")
    job.run.reclaim = command.action
    job.add_history(f"run {command.epoch} on {job.run.vm} reclaimed by {command.action}: {command.reason}")
    return Ok(Change(generation=command.epoch, reference=job.run.vm))


def _make_run_end(job: Job, *, run: Run, command: EndRun) -> RunEnd:
    return RunEnd(
        job_id=job.job_id,
        epoch=run.epoch,
        team=job.team,
        task_kind=job.spec.task_kind,
        vm=run.vm,
        outcome=command.outcome,
        probe=run.probe,
    )


def _check_reporter(state: ControlState, command: EndRun, *, vm: str) -> Result[Change, Failure] | None:
    if command.vm and command.vm != vm:
        return refuse(ResultCode.STALE_EPOCH, f"run {command.epoch} is on VM {vm}, not on {command.vm}")
    # A home that was suspended may report as lost a run that the worker started through its next home.
    home_epoch = state.tables.vms[vm].home_epoch if vm in state.tables.vms else 0
    if command.home_epoch and command.home_epoch != home_epoch:
        message = f"VM {vm} is at home epoch {home_epoch}, not {command.home_epoch}"
        return refuse(ResultCode.STALE_EPOCH, message)
    return None


def _check_vm(state: ControlState, command: StartRun, *, pool: str) -> Result[Change, Failure] | None:
    vm = state.tables.vms.get(command.vm)
    if vm is None:
        return refuse(ResultCode.UNKNOWN_VM, f"VM {command.vm!r} does not exist")
    if vm.epoch != command.vm_epoch:
        return refuse(ResultCode.STALE_EPOCH, f"VM {vm.name} is at epoch {vm.epoch}, not {command.vm_epoch}")
    if vm.pool != pool:
        return refuse(ResultCode.VM_STATE_CONFLICT, f"VM {vm.name} is in pool {vm.pool}, not {pool}")
    allowed = VmState.QUARANTINED if command.probe else VmState.READY
    if vm.state is not allowed:
        return refuse(ResultCode.VM_STATE_CONFLICT, f"VM {vm.name} is {vm.state}")
    if state.tables.zones[vm.zone].status is ZoneStatus.WITHDRAWN:
        return refuse(ResultCode.ZONE_WITHDRAWN, f"zone {vm.zone} is withdrawn")
    return None


def _check_limit(state: ControlState, *, job: Job) -> Result[Change, Failure] | None:
    document = state.document()
    team = document.team(name=job.team) if document else None
    if team is None:
        return refuse(ResultCode.UNKNOWN_TEAM, f"team {job.team!r} is not in the production document")
    usage = state.indexes.usage.get(job.team) or TeamUsage()
    if usage.tasks >= team.max_running or not (usage.resources + job.spec.resources).fits_in(team.limit):
        return refuse(
            ResultCode.TEAM_LIMIT, f"team {team.name} is at its upper limit with {usage.tasks} tasks"
        )
    return None


def _apply_run_outcome(state: ControlState, *, job: Job, command: EndRun) -> None:
    probe = job.run is not None and job.run.probe
    if command.outcome is RunOutcome.LOST and job.run is not None:
        _record_lost_run(state, job=job, run=job.run)
    job.run = None
    if command.outcome is RunOutcome.DONE:
        finish_job(state, job=job, status=JobStatus.DONE, detail=command.detail)
    elif job.cancelling:
        finish_job(state, job=job, status=JobStatus.CANCELLED, detail=command.detail or "stopped")
    elif command.outcome is RunOutcome.FAILED and not probe:
        _count_failure(state, job=job, detail=command.detail)
    elif (crashes := _count_crashes(state, job=job)) >= MAX_CRASHES:
        detail = f"{crashes} worker processes ended while they ran the job"
        finish_job(state, job=job, status=JobStatus.FAILED, detail=detail)
    else:
        _requeue(state, job=job, detail=command.detail)


def _record_lost_run(state: ControlState, *, job: Job, run: Run) -> None:
    if state.tables.now_ms - run.started_ms > PROBATION_MS:
        job.lost_runs.clear()
    elif run.boot_id:
        job.lost_runs.append(LostRun(vm=run.vm, boot_id=run.boot_id))


def _count_crashes(state: ControlState, *, job: Job) -> int:
    """Returns how many worker processes are known to have ended under a job; one that was only silent is not."""
    vms = state.tables.vms
    return sum(lost.vm not in vms or vms[lost.vm].boot_id != lost.boot_id for lost in job.lost_runs)


def _count_failure(state: ControlState, *, job: Job, detail: str) -> None:
    document = state.document()
    policy = document.jobs if document else JobPolicy()
    job.failures += 1
    if job.failures >= policy.max_tries:
        finish_job(state, job=job, status=JobStatus.FAILED, detail=detail)
        return
    doublings = min(job.failures - 1, MAX_BACKOFF_DOUBLINGS)
    job.not_before_ms = state.tables.now_ms + round(policy.backoff_s * 1000 * 2**doublings)
    _requeue(state, job=job, detail=detail)


def _requeue(state: ControlState, *, job: Job, detail: str) -> None:
    job.status = JobStatus.PENDING
    job.detail = detail
    state.indexes.pending[job.job_id] = job


__all__ = ["end_run", "reclaim_run", "start_run"]
