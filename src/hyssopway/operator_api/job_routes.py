"""Routes for teams that submit jobs."""

from __future__ import annotations

import hashlib
import secrets
from typing import TYPE_CHECKING

from expression import Result
from pydantic import TypeAdapter

from hyssopway.control.command import AcceptJob, CancelJob, CancelJobs
from hyssopway.control.record import JobSpec, JobStatus
from hyssopway.http import bearer_token, failure_response, json_response, read_json
from hyssopway.key import check_key
from hyssopway.result import Failure, ResultCode

from .bodies import CancelBody
from .paging import read_page

if TYPE_CHECKING:
    from aiohttp import web

    from hyssopway.control.record import Job, Key
    from hyssopway.replica import Freshness, Replica, Submitter

IDEMPOTENCY_HEADER = "Idempotency-Key"
SUBMIT_TIMEOUT_S = 5.0

# A command of this size takes a few milliseconds to apply, which delays no heartbeat.
MAX_CANCELLED = 1000

_SPEC = TypeAdapter(JobSpec)
_CANCEL = TypeAdapter(CancelBody)


class JobRoutes:
    """Accepts, shows and cancels the jobs of the team whose key came with the request.

    Attributes:
        replica: Agreed state.
        freshness: Whether keys can be confirmed.
        submitter: Way to the agreed state.
    """

    __slots__ = ("freshness", "replica", "submitter")

    def __init__(self, *, replica: Replica, freshness: Freshness, submitter: Submitter) -> None:
        self.replica = replica
        self.freshness = freshness
        self.submitter = submitter

    def add_routes(self, app: web.Application) -> None:
        """Adds the submitters' routes."""
        app.router.add_post("/v1/jobs", self.submit)
        app.router.add_get("/v1/jobs", self.list)
        app.router.add_post("/v1/jobs/cancel", self.cancel_many)
        app.router.add_get("/v1/jobs/{job}", self.show)
        app.router.add_delete("/v1/jobs/{job}", self.cancel)

    async def submit(self, request: web.Request) -> web.Response:
        """Accepts a job; the answer comes when it is durable."""
        checked = self._check(request)
        if checked.is_error():
            return failure_response(checked.error)
        key = checked.ok
        match await read_json(request, _SPEC):
            case Result(tag="ok", ok=spec):
                pass
            case Result(error=failure):
                return failure_response(failure)
        job_id = _job_id(team=key.team, idempotency_key=request.headers.get(IDEMPOTENCY_HEADER, ""))
        command = AcceptJob(job_id=job_id, key_id=key.key_id, team=key.team, spec=spec)
        match await self.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S):
            case Result(tag="ok"):
                return json_response(
                    self.replica.state.tables.jobs.get(job_id, {"job_id": job_id}), status=202
                )
            case Result(error=failure):
                return failure_response(failure)

    async def list(self, request: web.Request) -> web.Response:
        """Lists the team's jobs."""
        checked = self._check(request)
        if checked.is_error():
            return failure_response(checked.error)
        wanted = request.query.get("status")
        if wanted is not None and wanted not in set(JobStatus):
            message = f"status must be one of {', '.join(JobStatus)}"
            return failure_response(Failure(code=ResultCode.MALFORMED_REQUEST, message=message))
        match read_page(request.query, numbered=True):
            case Result(tag="ok", ok=page):
                pass
            case Result(error=failure):
                return failure_response(failure)
        jobs, following = page.cut(
            (
                job
                for job in self.replica.state.tables.jobs.values()
                if job.team == checked.ok.team and wanted in (None, job.status)
            ),
            cursor=lambda job: job.accepted_index,
        )
        return json_response({"jobs": jobs, "next": following})

    async def show(self, request: web.Request) -> web.Response:
        """Shows one job of the team."""
        checked = self._check(request)
        if checked.is_error():
            return failure_response(checked.error)
        job = self._find(request, key=checked.ok)
        return json_response(job) if job else failure_response(_unknown(request))

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancels one job of the team."""
        checked = self._check(request)
        if checked.is_error():
            return failure_response(checked.error)
        command = CancelJob(job_id=request.match_info["job"], team=checked.ok.team)
        match await self.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S):
            case Result(tag="ok", ok=outcome):
                return json_response({"job_id": command.job_id, "status": outcome.reference}, status=202)
            case Result(error=failure):
                return failure_response(failure)

    async def cancel_many(self, request: web.Request) -> web.Response:
        """Cancels many jobs of the team with one change."""
        checked = self._check(request)
        if checked.is_error():
            return failure_response(checked.error)
        match await read_json(request, _CANCEL):
            case Result(tag="ok", ok=body):
                pass
            case Result(error=failure):
                return failure_response(failure)
        if len(body.job_ids) > MAX_CANCELLED:
            message = f"{len(body.job_ids)} jobs are named; send at most {MAX_CANCELLED} at once"
            return failure_response(Failure(code=ResultCode.TOO_MANY_JOBS, message=message))
        command = CancelJobs(job_ids=body.job_ids, team=checked.ok.team)
        match await self.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S):
            case Result(tag="ok"):
                jobs = self.replica.state.tables.jobs
                found = [jobs[item] for item in body.job_ids if item in jobs]
                own = {job.job_id: job.status for job in found if job.team == checked.ok.team}
                return json_response({"jobs": own}, status=202)
            case Result(error=failure):
                return failure_response(failure)

    def _check(self, request: web.Request) -> Result[Key, Failure]:
        return check_key(text=bearer_token(request), replica=self.replica, freshness=self.freshness)

    def _find(self, request: web.Request, *, key: Key) -> Job | None:
        job = self.replica.state.tables.jobs.get(request.match_info["job"])
        return job if job is not None and job.team == key.team else None


def _job_id(*, team: str, idempotency_key: str) -> str:
    if not idempotency_key:
        return secrets.token_hex(12)
    return hashlib.sha256(f"{team}\0{idempotency_key}".encode()).hexdigest()[:24]


def _unknown(request: web.Request) -> Failure:
    message = f"job {request.match_info['job']!r} does not exist or belongs to another team"
    return Failure(code=ResultCode.UNKNOWN_JOB, message=message)


__all__ = ["JobRoutes"]
