"""Admits requests of callers and forwards them to endpoints."""

from __future__ import annotations

import asyncio
import base64
import hashlib
from typing import TYPE_CHECKING

from aiohttp import web
from expression import Error, Ok, Result

from hyssopway.control.record import Claim
from hyssopway.document import QueueAccess
from hyssopway.event import Event, log_event
from hyssopway.http import bearer_token, failure_response
from hyssopway.key import check_key
from hyssopway.result import Failure, ResultCode, WorkState

from .attempt_failed import AttemptFailedError
from .body_memory_budget import BodyMemoryBudget
from .call import Call
from .claims import HeldClaim
from .headers import ENVIRONMENT_HEADER, IDEMPOTENCY_HEADER, TIMEOUT_HEADER
from .request_body import BodyError, RequestBody
from .request_records import RequestRecord, RequestRecords
from .retry_budget import RetryBudget

if TYPE_CHECKING:
    from hyssopway.clock import Clock
    from hyssopway.document import Service
    from hyssopway.metrics import Metrics
    from hyssopway.replica import Freshness, Replica
    from hyssopway.routing import HeldCredit, Router

    from .forwarder import Forwarder

# Bodies up to this size are buffered for retries; the rest of a larger body is streamed.
BUFFERED_BODY_BYTES = 64 * 1024
# A request under which this many endpoints have failed may be the cause, and is sent to no other.
MAX_FAILED_WHILE_RUNNING = 2
MAX_IDEMPOTENCY_KEY = 256
IDLE_POLL_S = 0.05
_FAILURE_PREFIX = "failed with "
_NO_TEAM: Result[str, Failure] = Ok("")


class Gateway:
    """Admits requests, acquires slots, forwards requests and retries failed attempts.

    Attributes:
        replica: Replica of the replicated state.
        freshness: Freshness of the replica, which decides whether keys can be confirmed.
        router: Assigns slots of endpoints.
        forwarder: Sends one attempt to an endpoint.
        metrics: Latencies and counters.
        max_body_bytes: Maximum size of a request body in bytes.
        retry_budget: Limits retries relative to successes.
        open_requests: Number of requests in progress.
        records: History of recent requests.
        body_memory: Memory shared by all request bodies.
        tasks: Non-idempotent requests in progress.
    """

    __slots__ = (
        "body_memory",
        "clock",
        "forwarder",
        "freshness",
        "max_body_bytes",
        "metrics",
        "open_requests",
        "records",
        "replica",
        "retry_budget",
        "router",
        "tasks",
    )

    def __init__(
        self,
        *,
        replica: Replica,
        freshness: Freshness,
        router: Router,
        forwarder: Forwarder,
        metrics: Metrics,
        max_body_bytes: int,
        clock: Clock,
    ) -> None:
        self.replica = replica
        self.freshness = freshness
        self.router = router
        self.forwarder = forwarder
        self.metrics = metrics
        self.max_body_bytes = max_body_bytes
        self.clock = clock
        self.retry_budget = RetryBudget()
        self.open_requests = 0
        self.records = RequestRecords()
        self.body_memory = BodyMemoryBudget()
        self.tasks: set[asyncio.Task[web.StreamResponse]] = set()

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes for callers."""
        app.router.add_route("*", "/call/{service}", self.handle)
        app.router.add_route("*", "/call/{service}/{path:.*}", self.handle)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Handles one request."""
        started = self.clock()
        self.open_requests += 1
        request_id = _idempotency_key(request)[:MAX_IDEMPOTENCY_KEY]
        record = RequestRecord(request_id=request_id, service=request.match_info["service"])
        self.records.add(record)
        try:
            response = await self._serve(request, record=record)
            if not record.outcome.startswith(_FAILURE_PREFIX):
                record.outcome = str(response.status)
        finally:
            self.open_requests -= 1
            record.took_s = self.clock() - started
        self.metrics.record("request", seconds=self.clock() - started)
        return response

    async def wait_idle(self) -> None:
        """Waits until no request is in progress; each ends by its deadline."""
        while self.open_requests:  # noqa: ASYNC110  shutdown is rare; an event would cost time on each request
            await asyncio.sleep(IDLE_POLL_S)

    async def _serve(self, request: web.Request, *, record: RequestRecord) -> web.StreamResponse:
        match self._admit(request, record=record):
            case Result(tag="ok", ok=call):
                pass
            case Result(error=failure):
                return self._reject(record, failure)
        idempotent = call.service.idempotent
        detached = False
        try:
            await call.body.read_prefix(up_to=BUFFERED_BODY_BYTES if idempotent else self.max_body_bytes)
            if idempotent:
                return await self._run(call)
            detached = True
        except BodyError as error:
            return self._reject(record, error.failure)
        finally:
            if not detached:
                call.body.release()
        return await self._run_detached(call)

    def _admit(self, request: web.Request, *, record: RequestRecord) -> Result[Call, Failure]:
        environment = request.headers.get(ENVIRONMENT_HEADER, "production")
        document = self.replica.state.document(environment=environment)
        service = document.service(name=request.match_info["service"]) if document else None
        if service is None:
            message = f"service {request.match_info['service']!r} is not in the {environment} document"
            return Error(Failure(code=ResultCode.UNKNOWN_SERVICE, message=message))
        match self._check_key(request, service=service):
            case Result(tag="ok", ok=team):
                pass
            case Result(error=failure):
                return Error(failure)
        record.team = team
        timeout_s = _read_timeout(request, service=service)
        if timeout_s is None:
            message = (
                f"{TIMEOUT_HEADER} must be a number of seconds up to {service.deadline_limit_s:g}, "
                f"the longest_timeout_s of {service.name}"
            )
            return Error(Failure(code=ResultCode.MALFORMED_REQUEST, message=message))
        if not service.idempotent and not 0 < len(_idempotency_key(request)) <= MAX_IDEMPOTENCY_KEY:
            message = (
                f"{service.name} is not idempotent; send a unique {IDEMPOTENCY_HEADER} header "
                f"of at most {MAX_IDEMPOTENCY_KEY} characters"
            )
            return Error(Failure(code=ResultCode.IDEMPOTENCY_KEY_MISSING, message=message))
        deadline = self.clock() + timeout_s
        body = RequestBody(
            request=request,
            limit=self.max_body_bytes,
            deadline=deadline,
            clock=self.clock,
            memory_budget=self.body_memory,
        )
        return Ok(
            Call(
                request=request,
                service=service,
                environment=environment,
                team=team,
                deadline=deadline,
                body=body,
                record=record,
            )
        )

    def _check_key(self, request: web.Request, *, service: Service) -> Result[str, Failure]:
        if service.access is not QueueAccess.KEYED:
            return _NO_TEAM
        checked = check_key(text=bearer_token(request), replica=self.replica, freshness=self.freshness)
        return checked.map(lambda key: key.team)

    async def _run_detached(self, call: Call) -> web.StreamResponse:
        """Completes a non-idempotent request even if the caller disconnects after the request was sent."""
        task = asyncio.create_task(self._run_once(call))
        self.tasks.add(task)
        task.add_done_callback(self._end_detached)
        task.add_done_callback(lambda _: call.body.release())
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not call.sending:
                task.cancel()
            raise

    def _end_detached(self, task: asyncio.Task[web.StreamResponse]) -> None:
        self.tasks.discard(task)
        if not task.cancelled():
            task.exception()  # retrieved here to silence asyncio; raised by the handler unless the caller disconnected

    async def _run_once(self, call: Call) -> web.StreamResponse:
        request = call.request
        # Covers method, path and body, so that one idempotency key can't be used for two different requests.
        parts = (request.method.encode(), request.raw_path.encode(), call.body.prefix)
        claimed = await self.forwarder.claims.claim(
            environment=call.environment,
            service=call.service,
            team=call.team,
            idempotency_key=_idempotency_key(request),
            fingerprint=hashlib.sha256(b"\0".join(parts)).hexdigest(),
            deadline_s=call.deadline - self.clock(),
        )
        match claimed:
            case Result(tag="ok", ok=Claim() as stored):
                return _stored_response(stored)
            case Result(tag="ok", ok=HeldClaim() as held):
                call.claim = held
                return await self._run(call)
            case Result(error=failure):
                return self._reject(call.record, failure)
        raise AssertionError("unexpected result of a claim request")

    async def _run(self, call: Call) -> web.StreamResponse:
        try:
            while True:
                match await self._attempt(call):
                    case Result(tag="ok", ok=response):
                        return response
                    case Result(error=AttemptFailedError() as failed):
                        if not self._may_retry(call, failed=failed):
                            return self._fail(call, failure=failed.failure)
                        self.metrics.count("retries")
        except asyncio.CancelledError:
            self._release_claim(call)
            raise

    async def _attempt(self, call: Call) -> Result[web.StreamResponse, AttemptFailedError]:
        started = self.clock()
        acquired = await self.router.acquire(
            environment=call.environment,
            service=call.service.name,
            deadline=call.deadline,
            queue_limit=call.service.queue_limit,
            avoided=call.tried,
        )
        call.record.waited_s += self.clock() - started
        match acquired:
            case Result(tag="ok", ok=credit):
                pass
            case Result(error=failure):
                return Error(AttemptFailedError(failure, retry=False, endpoint_failed=False))
        refused = self._recheck(call)
        if refused is not None:
            self.router.release(credit)
            return Error(AttemptFailedError(refused, retry=False, endpoint_failed=False))
        return await self._send(call, credit=credit)

    async def _send(
        self, call: Call, *, credit: HeldCredit
    ) -> Result[web.StreamResponse, AttemptFailedError]:
        abandoned = True
        started = self.clock()
        service = (call.environment, call.service.name)
        call.record.endpoints.append(credit.credit.endpoint)
        try:
            response = await self.forwarder.send(call, credit=credit)
            abandoned = False
            self.retry_budget.record_success()
            seconds = self.clock() - started
            self.router.health.record_success(credit.credit.endpoint, service=service, seconds=seconds)
            return Ok(response)
        except AttemptFailedError as error:
            abandoned = call.sending
            call.tried |= {credit.credit.endpoint}
            if call.earlier is None and error.failure.work is not WorkState.NOT_RUN:
                call.earlier = error.failure
            if error.endpoint_failed and error.failure.work is not WorkState.NOT_RUN:
                call.failed_while_running += 1
            if error.endpoint_failed:
                self.router.health.record_failure(credit.credit.endpoint, service=service)
            return Error(error)
        finally:
            self.router.release(credit, abandoned=abandoned)

    def _recheck(self, call: Call) -> Failure | None:
        """Rechecks deadline and key, which can lapse while the request waits or the process is suspended."""
        if call.deadline <= self.clock():
            message = "the deadline of the request passed before it was sent to an endpoint"
            return Failure(code=ResultCode.DEADLINE_EXCEEDED, message=message)
        if call.service.access is not QueueAccess.KEYED:
            return None
        checked = self._check_key(call.request, service=call.service)
        return checked.error if checked.is_error() else None

    def _may_retry(self, call: Call, *, failed: AttemptFailedError) -> bool:
        known_not_run = failed.failure.work is WorkState.NOT_RUN
        return (
            failed.retry
            and (known_not_run or call.service.idempotent)
            and not call.answering
            and not call.body.consumed
            and call.failed_while_running < MAX_FAILED_WHILE_RUNNING
            and call.deadline > self.clock()
            and self.retry_budget.acquire()
        )

    def _fail(self, call: Call, *, failure: Failure) -> web.Response:
        failure = call.final_failure(failure)
        if failure.work is WorkState.NOT_RUN:
            self._release_claim(call)
            return self._reject(call.record, failure)
        call.record.outcome = _describe_failure(failure)
        service = call.service.name
        self.metrics.count(f"failed.{failure.code.name}")
        log_event(Event.REQUEST_FAILED, service=service, code=int(failure.code), message=failure.message)
        return failure_response(failure)

    def _release_claim(self, call: Call) -> None:
        if call.claim is not None and not call.sending and call.earlier is None:
            self.forwarder.claims.release(call.claim)

    def _reject(self, record: RequestRecord, failure: Failure) -> web.Response:
        record.outcome = _describe_failure(failure)
        self.metrics.count(f"refused.{failure.code.name}")
        code = int(failure.code)
        log_event(Event.REQUEST_REFUSED, service=record.service, code=code, message=failure.message)
        return failure_response(failure)


def _describe_failure(failure: Failure) -> str:
    return f"{_FAILURE_PREFIX}{failure.code.name}, {failure.work}: {failure.message}"


def _idempotency_key(request: web.Request) -> str:
    return request.headers.get(IDEMPOTENCY_HEADER, "")


def _read_timeout(request: web.Request, *, service: Service) -> float | None:
    text = request.headers.get(TIMEOUT_HEADER)
    if text is None:
        return service.timeout_s
    try:
        timeout_s = float(text)
    except ValueError:
        return None
    return timeout_s if 0 < timeout_s <= service.deadline_limit_s else None


def _stored_response(claim: Claim) -> web.Response:
    if claim.body is None:
        message = "the request has already run; its response was too large to store"
        return failure_response(Failure(code=ResultCode.CLAIM_UNKNOWN, message=message, work=WorkState.RAN))
    headers = {"Hyssopway-Replayed": "true"}
    if claim.content_type:
        headers["Content-Type"] = claim.content_type
    return web.Response(status=claim.status, body=base64.b64decode(claim.body), headers=headers)


__all__ = ["Gateway"]
