"""HTTP application of a daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from hyssopway.http import error_middleware, json_response
from hyssopway.operator_api import (
    EndpointRoutes,
    FleetRoutes,
    JobRoutes,
    MemberRoutes,
    OperatorAccess,
    OperatorRoutes,
    WaveRoutes,
    WorkerRoutes,
)

from .status import collect_status

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .daemon import Daemon

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class HttpApplication:
    """All routes of a daemon.

    Attributes:
        daemon: The daemon.
        endpoint_routes: Routes of endpoints.
        worker_routes: Routes of workers.
        operator_access: Authentication and command submission shared by all routes of operators.
    """

    __slots__ = ("daemon", "endpoint_routes", "operator_access", "worker_routes")

    def __init__(self, *, daemon: Daemon) -> None:
        self.daemon = daemon
        settings, group = daemon.settings, daemon.group
        self.endpoint_routes = EndpointRoutes(registry=daemon.requests.registry, token=settings.fleet_token)
        self.worker_routes = WorkerRoutes(sessions=daemon.jobs.sessions, token=settings.fleet_token)
        self.operator_access = OperatorAccess(submitter=group.submitter, token=settings.operator_token)

    def build(self) -> web.Application:
        """Builds the application; the request components must be open."""
        settings, group = self.daemon.settings, self.daemon.group
        app = web.Application(
            client_max_size=settings.max_body_bytes,
            middlewares=[self._close_when_stopping, error_middleware],
        )
        app.router.add_get("/health", self._answer_health)
        self.daemon.requests.gateway.add_routes(app)
        self.endpoint_routes.add_routes(app)
        self.worker_routes.add_routes(app)
        JobRoutes(replica=group.replica, freshness=group.freshness, submitter=group.submitter).add_routes(app)
        self._add_operator_routes(app)
        return app

    def _add_operator_routes(self, app: web.Application) -> None:
        daemon, group, access = self.daemon, self.daemon.group, self.operator_access
        MemberRoutes(membership=group.membership, replica=group.replica, access=access).add_routes(app)
        OperatorRoutes(
            replica=group.replica,
            access=access,
            read_status=lambda index: collect_status(daemon, index=index),
            read_dump=daemon.dump,
            # Looked up at each call: the gateway does not exist yet when this object is created.
            find_requests=lambda request_id: list(daemon.requests.gateway.records.find(request_id)),
        ).add_routes(app)
        for routes in (WaveRoutes, FleetRoutes):
            routes(replica=group.replica, access=access, now_ms=group.now_ms).add_routes(app)

    @web.middleware
    async def _close_when_stopping(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        answer = await handler(request)
        if self.daemon.stopping and not answer.prepared:
            # Otherwise a caller could reuse the connection for a request just before the daemon closes it.
            answer.force_close()
        return answer

    async def _answer_health(self, request: web.Request) -> web.Response:
        stopping = self.daemon.stopping
        status = 503 if stopping else 200
        return json_response({"healthy": not stopping, "daemon": self.daemon.settings.name}, status=status)


__all__ = ["HttpApplication"]
