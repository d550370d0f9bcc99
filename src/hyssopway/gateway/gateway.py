"""Serves callers: one request in, one whole answer out."""

from __future__ import annotations

import base64
import hashlib
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
from expression import Result

from hyssopway.control.record import Claim
from hyssopway.document import QueueAccess
from hyssopway.event import Event, log_event
from hyssopway.http import bearer_token, failure_response
from hyssopway.key import check_key
from hyssopway.result import Failure, ResultCode, WorkState

from .claims import HeldClaim

if TYPE_CHECKING:
    from hyssopway.clock import Clock
    from hyssopway.document import Service
    from hyssopway.metrics import Metrics
    from hyssopway.replica import Freshness, Replica
    from hyssopway.routing import HeldCredit, Router

    from .claims import ClaimKeeper

ENVIRONMENT_HEADER = "Hyssopway-Environment"
TIMEOUT_HEADER = "Hyssopway-Timeout"
IDEMPOTENCY_HEADER = "Idempotency-Key"
MAX_TIMEOUT_S = 3600.0
HOP_HEADERS = {
    "authorization",
    "connection",
    "content-encoding",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
}


class Gateway:
    """Admits requests, finds a slot and passes request and answer through.

    Attributes:
        replica: Agreed state.
        freshness: Whether keys can be confirmed.
        router: Slots of endpoints.
        claims: Claims of non-idempotent requests.
        session: HTTP client towards endpoints.
        metrics: Latencies and counts.
        open_requests: Requests in progress.
    """

    __slots__ = ("claims", "clock", "freshness", "metrics", "open_requests", "replica", "router", "session")

    def __init__(
        self,
        *,
        replica: Replica,
        freshness: Freshness,
        router: Router,
        claims: ClaimKeeper,
        session: aiohttp.ClientSession,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self.replica = replica
        self.freshness = freshness
        self.router = router
        self.claims = claims
        self.session = session
        self.metrics = metrics
        self.clock = clock
        self.open_requests = 0

    def add_routes(self, app: web.Application) -> None:
        """Adds the callers' routes."""
        app.router.add_route("*", "/call/{service}", self.handle)
        app.router.add_route("*", "/call/{service}/{path:.*}", self.handle)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Serves one request."""
        started = self.clock()
        self.open_requests += 1
        try:
            answer = await self._serve(request)
        finally:
            self.open_requests -= 1
        self.metrics.record("request", seconds=self.clock() - started)
        return answer

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        environment = request.headers.get(ENVIRONMENT_HEADER, "production")
        document = self.replica.state.document(environment=environment)
        service = document.service(name=request.match_info["service"]) if document else None
        if service is None:
            message = f"service {request.match_info['service']!r} is not in the {environment} document"
            return self._refuse(request, Failure(code=ResultCode.UNKNOWN_SERVICE, message=message))
        team = ""
        if service.access is QueueAccess.KEYED:
            match check_key(text=bearer_token(request), replica=self.replica, freshness=self.freshness):
                case Result(tag="ok", ok=key):
                    team = key.team
                case Result(error=failure):
                    return self._refuse(request, failure)
        timeout_s = _read_timeout(request, default=service.timeout_s)
        if timeout_s is None:
            message = f"{TIMEOUT_HEADER} must be a number of seconds up to {MAX_TIMEOUT_S:.0f}"
            return self._refuse(request, Failure(code=ResultCode.MALFORMED_REQUEST, message=message))
        body = await request.read()
        deadline = self.clock() + timeout_s
        if service.idempotent:
            return await self._run(
                request, service=service, environment=environment, body=body, deadline=deadline
            )
        return await self._run_once(
            request, service=service, environment=environment, team=team, body=body, deadline=deadline
        )

    async def _run_once(
        self,
        request: web.Request,
        *,
        service: Service,
        environment: str,
        team: str,
        body: bytes,
        deadline: float,
    ) -> web.StreamResponse:
        idempotency_key = request.headers.get(IDEMPOTENCY_HEADER, "")
        if not idempotency_key:
            message = f"{service.name} is not idempotent; send a unique {IDEMPOTENCY_HEADER} header"
            return self._refuse(request, Failure(code=ResultCode.IDEMPOTENCY_KEY_MISSING, message=message))
        fingerprint = hashlib.sha256(b"\0".join((request.method.encode(), request.raw_path.encode(), body)))
        claimed = await self.claims.claim(
            service=service,
            team=team,
            idempotency_key=idempotency_key,
            fingerprint=fingerprint.hexdigest(),
            deadline_s=deadline - self.clock(),
        )
        match claimed:
            case Result(tag="ok", ok=Claim() as stored):
                return _stored_answer(stored)
            case Result(tag="ok", ok=HeldClaim() as held):
                return await self._run(
                    request, service=service, environment=environment, body=body, deadline=deadline, held=held
                )
            case Result(error=failure):
                return self._refuse(request, failure)
        raise AssertionError("a claim is held, stored or refused")

    async def _run(
        self,
        request: web.Request,
        *,
        service: Service,
        environment: str,
        body: bytes,
        deadline: float,
        held: HeldClaim | None = None,
    ) -> web.StreamResponse:
        acquired = await self.router.acquire(environment=environment, service=service.name, deadline=deadline)
        match acquired:
            case Result(tag="ok", ok=credit):
                pass
            case Result(error=failure):
                if held is not None:
                    await self.claims.release(held)
                return self._refuse(request, failure)
        try:
            return await self._forward(request, credit=credit, body=body, deadline=deadline, held=held)
        except (aiohttp.ClientConnectorError, aiohttp.ServerDisconnectedError) as error:
            return await self._failed(request, error=error, held=held, sent=not _is_connect_error(error))
        except (aiohttp.ClientError, TimeoutError) as error:
            return await self._failed(request, error=error, held=held, sent=True)
        finally:
            self.router.release(credit)

    async def _forward(
        self,
        request: web.Request,
        *,
        credit: HeldCredit,
        body: bytes,
        deadline: float,
        held: HeldClaim | None,
    ) -> web.StreamResponse:
        path = request.match_info.get("path", "")
        query = f"?{request.query_string}" if request.query_string else ""
        headers = {name: value for name, value in request.headers.items() if name.lower() not in HOP_HEADERS}
        timeout = aiohttp.ClientTimeout(total=max(0.001, deadline - self.clock()))
        async with self.session.request(
            request.method,
            f"{credit.credit.address}/{path}{query}",
            data=body,
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
        ) as answer:
            content = await answer.read()
            if held is not None:
                await self.claims.resolve(
                    held, status=answer.status, content_type=answer.content_type, body=content
                )
            kept = {name: value for name, value in answer.headers.items() if name.lower() not in HOP_HEADERS}
            return web.Response(status=answer.status, headers=kept, body=content)

    async def _failed(
        self, request: web.Request, *, error: Exception, held: HeldClaim | None, sent: bool
    ) -> web.Response:
        reason = str(error) or type(error).__name__
        if sent:
            message = f"the endpoint failed after the request was sent: {reason}"
            failure = Failure(code=ResultCode.ENDPOINT_FAILED, message=message, work=WorkState.MAY_HAVE_RUN)
        else:
            if held is not None:
                await self.claims.release(held)
            message = f"the endpoint could not be reached: {reason}"
            failure = Failure(code=ResultCode.ENDPOINT_FAILED, message=message, retry_after_s=1.0)
        service = request.match_info["service"]
        log_event(Event.REQUEST_FAILED, service=service, code=int(failure.code), message=failure.message)
        return failure_response(failure)

    def _refuse(self, request: web.Request, failure: Failure) -> web.Response:
        self.metrics.count(f"refused.{failure.code.name}")
        service = request.match_info["service"]
        log_event(Event.REQUEST_REFUSED, service=service, code=int(failure.code), message=failure.message)
        return failure_response(failure)


def _read_timeout(request: web.Request, *, default: float) -> float | None:
    text = request.headers.get(TIMEOUT_HEADER)
    if text is None:
        return default
    try:
        timeout_s = float(text)
    except ValueError:
        return None
    return timeout_s if 0 < timeout_s <= MAX_TIMEOUT_S else None


def _is_connect_error(error: Exception) -> bool:
    return isinstance(error, aiohttp.ClientConnectorError)


def _stored_answer(claim: Claim) -> web.Response:
    if claim.body is None:
        message = "the request ran before; its answer was too large to be kept"
        return failure_response(Failure(code=ResultCode.CLAIM_UNKNOWN, message=message, work=WorkState.RAN))
    return web.Response(
        status=claim.status,
        body=base64.b64decode(claim.body),
        headers={"Content-Type": claim.content_type, "Hyssopway-Replayed": "true"},
    )


__all__ = ["Gateway"]
