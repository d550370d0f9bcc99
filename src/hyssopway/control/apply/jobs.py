"""Applies commands that accept, cancel and reject jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Ok, Result

from hyssopway.control.change import Change
from hyssopway.control.command import CancelJob
from hyssopway.control.record import Job, JobStatus
from hyssopway.result import ResultCode, WorkState

from .refusal import refuse

if TYPE_CHECKING:
    from hyssopway.control.command import AcceptJob, CancelJobs, RejectJob
    from hyssopway.control.state import ControlState
    from hyssopway.result import Failure

# Ended jobs stay visible for some time; 10,000 of about 1 KB each keep a daemon far below its limit of 128 MB.
MAX_ENDED_JOBS = 10_000
FINAL_STATUSES = {JobStatus.DONE, JobStatus.FAILED, JobStatus.CANCELLED, JobStatus.CANNOT_RUN}


def accept_job(state: ControlState, command: AcceptJob) -> Result[Change, Failure]:
    """Stores a job; a retry with the same job ID returns the first acceptance."""
    known = state.tables.jobs.get(command.job_id)
    if known is not None:
        if known.team != command.team or known.spec != command.spec:
            return refuse(ResultCode.REQUEST_ID_REUSED, f"job id {command.job_id!r} was used for another job")
        return Ok(Change(generation=known.accepted_index, reference=known.job_id))
    key = state.tables.keys.get(command.key_id)
    if key is None or key.withdrawn_by or key.team != command.team:
        return refuse(
            ResultCode.KEY_INVALID, f"key {command.key_id!r} is not valid for team {command.team!r}"
        )
    rejection = _find_rejection_reason(state, command)
    if rejection:
        return refuse(ResultCode.JOB_CANNOT_RUN, rejection)
    job = Job(
        job_id=command.job_id,
        team=command.team,
        spec=command.spec,
        accepted_ms=state.tables.wall_ms,
        accepted_index=state.applied_index,
    )
    state.tables.jobs[job.job_id] = job
    state.indexes.pending[job.job_id] = job
    return Ok(Change(generation=job.accepted_index, reference=job.job_id))


def cancel_job(state: ControlState, command: CancelJob) -> Result[Change, Failure]:
    """Cancels a pending job at once; marks a running job so that its run is stopped."""
    job = state.tables.jobs.get(command.job_id)
    if job is None or (command.team and job.team != command.team):
        return refuse(ResultCode.UNKNOWN_JOB, f"job {command.job_id!r} does not exist")
    match job.status:
        case JobStatus.PENDING:
            finish_job(state, job=job, status=JobStatus.CANCELLED, detail="cancelled before it started")
        case JobStatus.RUNNING:
            job.cancelling = True
        case JobStatus.CANCELLED:
            pass
        case _:
            return refuse(ResultCode.JOB_ENDED, f"job {job.job_id} is {job.status}", work=WorkState.RAN)
    return Ok(Change(generation=job.runs, reference=job.status))


def cancel_jobs(state: ControlState, command: CancelJobs) -> Result[Change, Failure]:
    """Cancels several jobs; the generation of the result is the number of jobs cancelled or being stopped."""
    results = [cancel_job(state, CancelJob(job_id=item, team=command.team)) for item in command.job_ids]
    return Ok(Change(generation=sum(result.is_ok() for result in results)))


def reject_job(state: ControlState, command: RejectJob) -> Result[Change, Failure]:
    """Ends a pending job with the status `cannot_run`."""
    job = state.tables.jobs.get(command.job_id)
    if job is None or job.status is not JobStatus.PENDING:
        return refuse(ResultCode.UNKNOWN_JOB, f"job {command.job_id!r} is not pending")
    finish_job(state, job=job, status=JobStatus.CANNOT_RUN, detail=command.reason)
    return Ok(Change(reference=job.job_id))


def finish_job(state: ControlState, *, job: Job, status: JobStatus, detail: str) -> None:
    """Sets the final status of a job and deletes the oldest ended job beyond the limit."""
    state.indexes.pending.pop(job.job_id, None)
    job.status = status
    job.run = None
    job.cancelling = False
    job.detail = detail
    job.ended_ms = state.tables.wall_ms
    job.add_history(f"{status}: {detail}")
    state.tables.ended_jobs.append(job.job_id)
    if len(state.tables.ended_jobs) > MAX_ENDED_JOBS:
        del state.tables.jobs[state.tables.ended_jobs.pop(0)]


def _find_rejection_reason(state: ControlState, command: AcceptJob) -> str:
    document = state.document()
    team = document.team(name=command.team) if document else None
    if document is None or team is None:
        return f"team {command.team!r} is not in the production document"
    if document.pool(name=command.spec.pool) is None:
        return f"pool {command.spec.pool!r} is not in the production document"
    if not command.spec.resources.fits_in(team.limit) or team.max_running == 0:
        return f"the job alone exceeds the upper limit of team {team.name}"
    if state.indexes.shapes.exceeds_every_vm(pool=command.spec.pool, need=command.spec.resources):
        return f"the job is bigger than every VM of pool {command.spec.pool}"
    return ""


__all__ = ["FINAL_STATUSES", "accept_job", "cancel_job", "cancel_jobs", "finish_job", "reject_job"]
