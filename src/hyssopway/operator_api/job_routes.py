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

# A command of this size takes a few milliseconds to apply, too short to delay heartbeats.
MAX_JOBS_PER_CANCEL = 1000

_JOB_SPEC = TypeAdapter(JobSpec)
_CANCEL_BODY = TypeAdapter(CancelBody)


class JobRoutes:
    """Accepts, shows and cancels jobs of the team that the key of the request belongs to.

    Attributes:
        replica: Local copy of the replicated state.
        freshness: Age of the last confirmation of the replica; keys are valid only while it is fresh.
        submitter: Submits commands to the replicated state.
    """

    __slots__ = ("freshness", "replica", "submitter")

    def __init__(self, *, replica: Replica, freshness: Freshness, submitter: Submitter) -> None:
        self.replica = replica
        self.freshness = freshness
        self.submitter = submitter

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes to the application."""
        app.router.add_post("/v1/jobs", self.submit)
        app.router.add_get("/v1/jobs", self.list)
        app.router.add_post("/v1/jobs/cancel", self.cancel_many)
        app.router.add_get("/v1/jobs/{job}", self.show)
        app.router.add_delete("/v1/jobs/{job}", self.cancel)

    async def submit(self, request: web.Request) -> web.Response:
        """Accepts a job; answers when it is stored durably."""
        authenticated = self._authenticate(request)
        if authenticated.is_error():
            return failure_response(authenticated.error)
        key = authenticated.ok
        match await read_json(request, _JOB_SPEC):
            case Result(tag="ok", ok=spec):
                pass
            case Result(error=failure):
                return failure_response(failure)
        job_id = _make_job_id(team=key.team, idempotency_key=request.headers.get(IDEMPOTENCY_HEADER, ""))
        command = AcceptJob(job_id=job_id, key_id=key.key_id, team=key.team, spec=spec)
        match await self.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S):
            case Result(tag="ok"):
                return json_response(
                    self.replica.state.tables.jobs.get(job_id, {"job_id": job_id}), status=202
                )
            case Result(error=failure):
                return failure_response(failure)

    async def list(self, request: web.Request) -> web.Response:
        """Lists jobs of the team in the order of acceptance."""
        authenticated = self._authenticate(request)
        if authenticated.is_error():
            return failure_response(authenticated.error)
        wanted = request.query.get("status")
        if wanted is not None and wanted not in set(JobStatus):
            message = f"status must be one of {', '.join(JobStatus)}"
            return failure_response(Failure(code=ResultCode.MALFORMED_REQUEST, message=message))
        match read_page(request.query, numeric_cursor=True):
            case Result(tag="ok", ok=page):
                pass
            case Result(error=failure):
                return failure_response(failure)
        jobs, next_cursor = page.select(
            (
                job
                for job in self.replica.state.tables.jobs.values()
                if job.team == authenticated.ok.team and wanted in (None, job.status)
            ),
            cursor=lambda job: job.accepted_index,
        )
        return json_response({"jobs": jobs, "next": next_cursor})

    async def show(self, request: web.Request) -> web.Response:
        """Shows one job of the team."""
        authenticated = self._authenticate(request)
        if authenticated.is_error():
            return failure_response(authenticated.error)
        job = self._find_job(request, key=authenticated.ok)
        return json_response(job) if job else failure_response(_unknown_job(request))

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancels one job of the team."""
        authenticated = self._authenticate(request)
        if authenticated.is_error():
            return failure_response(authenticated.error)
        command = CancelJob(job_id=request.match_info["job"], team=authenticated.ok.team)
        match await self.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S):
            case Result(tag="ok", ok=outcome):
                return json_response({"job_id": command.job_id, "status": outcome.reference}, status=202)
            case Result(error=failure):
                return failure_response(failure)

    async def cancel_many(self, request: web.Request) -> web.Response:
        """Cancels several jobs of the team with one command."""
        authenticated = self._authenticate(request)
        if authenticated.is_error():
            return failure_response(authenticated.error)
        match await read_json(request, _CANCEL_BODY):
            case Result(tag="ok", ok=body):
                pass
            case Result(error=failure):
                return failure_response(failure)
        if len(body.job_ids) > MAX_JOBS_PER_CANCEL:
            message = f"the request names {len(body.job_ids)} jobs; at most {MAX_JOBS_PER_CANCEL} are allowed"
            return failure_response(Failure(code=ResultCode.TOO_MANY_JOBS, message=message))
        command = CancelJobs(job_ids=body.job_ids, team=authenticated.ok.team)
        match await self.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S):
            case Result(tag="ok"):
                jobs = self.replica.state.tables.jobs
                found = [jobs[item] for item in body.job_ids if item in jobs]
                own = {job.job_id: job.status for job in found if job.team == authenticated.ok.team}
                return json_response({"jobs": own}, status=202)
            case Result(error=failure):
                return failure_response(failure)

    def _authenticate(self, request: web.Request) -> Result[Key, Failure]:
        return check_key(text=bearer_token(request), replica=self.replica, freshness=self.freshness)

    def _find_job(self, request: web.Request, *, key: Key) -> Job | None:
        job = self.replica.state.tables.jobs.get(request.match_info["job"])
        return job if job is not None and job.team == key.team else None


def _make_job_id(*, team: str, idempotency_key: str) -> str:
    if not idempotency_key:
        return secrets.token_hex(12)
    return hashlib.sha256(f"{team}\0{idempotency_key}".encode()).hexdigest()[:24]


def _unknown_job(request: web.Request) -> Failure:
    message = f"job {request.match_info['job']!r} does not exist or belongs to another team"
    return Failure(code=ResultCode.UNKNOWN_JOB, message=message)


__all__ = ["JobRoutes"]
