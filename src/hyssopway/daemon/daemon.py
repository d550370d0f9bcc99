"""Builds and runs the parts of one daemon process."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import web

from hyssopway.agreement import Configuration, Member, StorageError, Store, run_elections, run_replication
from hyssopway.clock import monotonic_s, wall_ms
from hyssopway.endpoint import EndpointRegistry
from hyssopway.event import Event, log_event
from hyssopway.gateway import Gateway
from hyssopway.gateway.claims import ClaimKeeper
from hyssopway.http import HttpListener, answer_errors, json_response
from hyssopway.job import JobScheduler
from hyssopway.metrics import Metrics
from hyssopway.operator_api import EndpointRoutes, JobRoutes, OperatorRoutes, WorkerRoutes
from hyssopway.peer import PeerDirectory, PeerServer
from hyssopway.replica import Freshness, Replica, Submitter, follow_leader, follow_upstream
from hyssopway.routing import CreditLedger, Router
from hyssopway.settings import http_context, peer_client_context, peer_server_context
from hyssopway.worker import WorkerSessions

from .applied_times import SAMPLE_S, AppliedTimes
from .dump import dump_daemon
from .peer_calls import PeerCalls
from .reloading import reload_settings
from .status import collect_status, own_status

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hyssopway.settings import DaemonSettings

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

RESTART_S = 1.0
EXPIRE_S = 0.25


class Daemon:
    """All parts of one daemon.

    Attributes:
        settings: Its settings.
        replica: Agreed state.
        freshness: How current the replica is.
        member: Control member; None without a disk.
        stopping: Whether health is reported as failing so that the balancer looks elsewhere.
    """

    def __init__(self, *, settings: DaemonSettings, initialise: bool = False) -> None:
        self.settings = settings
        self.initialise = initialise
        self.stopping = False
        self.tasks: list[asyncio.Task[None]] = []
        clock = monotonic_s
        self.clock = clock
        self.metrics = Metrics()
        self.replica = Replica()
        self.freshness = Freshness(clock=clock)
        self.applied_times = AppliedTimes(clock=clock, read_index=lambda: self.replica.state.applied_index)
        tls = settings.tls
        self.peers = PeerDirectory(settings=settings, tls=peer_client_context(tls) if tls else None)
        self.member = self._build_member()
        self.submitter = Submitter(
            own_name=settings.name,
            member=self.member,
            peers=self.peers,
            members=[peer.name for peer in settings.peers if peer.member],
            replica=self.replica,
            clock=clock,
            wall_ms=wall_ms,
        )
        self.registry = EndpointRegistry(clock=clock)
        self.ledger = CreditLedger(registry=self.registry, clock=clock)
        self.router = Router(
            own_name=settings.name,
            ledger=self.ledger,
            peers=self.peers,
            homes=_nearest_first(settings),
            clock=clock,
        )
        self.sessions = WorkerSessions(
            own_name=settings.name,
            replica=self.replica,
            freshness=self.freshness,
            submitter=self.submitter,
            clock=clock,
        )
        self.scheduler = JobScheduler(replica=self.replica, submitter=self.submitter, leads=self.leads)
        self.calls = PeerCalls(
            member=self.member, replica=self.replica, freshness=self.freshness, ledger=self.ledger
        )
        self.calls.exchanges["status"] = lambda _: own_status(self)
        self.peer_server = PeerServer(handlers=self.calls, token=settings.peer_token)
        self.endpoint_routes = EndpointRoutes(registry=self.registry, token=settings.fleet_token)
        self.worker_routes = WorkerRoutes(sessions=self.sessions, token=settings.fleet_token)
        self.operator_routes = OperatorRoutes(
            replica=self.replica,
            submitter=self.submitter,
            token=settings.operator_token,
            read_status=lambda index: collect_status(self, index=index),
            read_dump=self.dump,
        )

    def leads(self) -> bool:
        """Tells whether this daemon leads its region."""
        return self.member is not None and self.member.is_leader

    async def start(self) -> None:
        """Opens durable state, starts all tasks and listens."""
        own = self.settings.own
        self._open_member()
        tls = self.settings.tls
        await self.peer_server.open(
            host=own.host, port=own.peer_port, tls=peer_server_context(tls) if tls else None
        )
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0), auto_decompress=False)
        self.gateway = Gateway(
            replica=self.replica,
            freshness=self.freshness,
            router=self.router,
            claims=ClaimKeeper(own_name=self.settings.name, submitter=self.submitter),
            session=self.session,
            metrics=self.metrics,
            clock=self.clock,
        )
        self._start_tasks()
        self.listener = HttpListener(app=self._build_app(), shutdown_s=self.settings.shutdown_s)
        await self.listener.open(host=own.host, port=own.http_port, tls=http_context(tls) if tls else None)
        log_event(
            Event.DAEMON_STARTED,
            daemon=self.settings.name,
            zone=self.settings.zone,
            http=f"{own.host}:{own.http_port}",
            peer=f"{own.host}:{own.peer_port}",
        )

    async def stop(self) -> None:
        """Stops gracefully.

        Health turns first, and everything is still served until the balancer looks elsewhere. Then no new
        connection is accepted, and all requests in progress finish.
        """
        self.stopping = True
        log_event(Event.DAEMON_DRAINING, seconds=self.settings.drain_health_s)
        await asyncio.sleep(self.settings.drain_health_s)
        log_event(Event.DAEMON_STOPPING, open_requests=self.gateway.open_requests)
        await self.listener.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.peer_server.close()
        self.peers.close()
        await self.session.close()
        if self.member is not None:
            self.member.store.close()
        log_event(Event.DAEMON_STOPPED)

    def dump(self) -> dict[str, Any]:
        """Returns the state of this process."""
        return dump_daemon(self)

    def reload(self, path: Path) -> None:
        """Takes over a changed settings file."""
        reload_settings(self, path=path)

    def _build_member(self) -> Member | None:
        if self.settings.data_dir is None:
            return None
        return Member(
            daemon=self.settings.name,
            store=Store(folder=Path(self.settings.data_dir)),
            machine=self.replica,
            clock=self.clock,
            snapshot_entries=self.settings.snapshot_entries,
        )

    def _open_member(self) -> None:
        if self.member is None:
            return
        try:
            self.member.open(initial=self._initial_configuration() if self.initialise else None)
        except OSError as error:
            raise StorageError(f"data folder {self.settings.data_dir}: {error}") from error

    def _initial_configuration(self) -> Configuration:
        return Configuration(voters=tuple(f"{peer.name}/0" for peer in self.settings.peers if peer.member))

    def _build_app(self) -> web.Application:
        app = web.Application(
            client_max_size=self.settings.max_body_bytes,
            middlewares=[self._close_when_stopping, answer_errors],
        )
        app.router.add_get("/health", self._answer_health)
        self.gateway.add_routes(app)
        self.endpoint_routes.add_routes(app)
        self.worker_routes.add_routes(app)
        JobRoutes(replica=self.replica, freshness=self.freshness, submitter=self.submitter).add_routes(app)
        self.operator_routes.add_routes(app)
        return app

    @web.middleware
    async def _close_when_stopping(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        answer = await handler(request)
        if self.stopping and not answer.prepared:
            # A caller that keeps its connection would send into its end otherwise.
            answer.force_close()
        return answer

    async def _answer_health(self, request: web.Request) -> web.Response:
        status = 503 if self.stopping else 200
        return json_response({"healthy": not self.stopping, "daemon": self.settings.name}, status=status)

    def _start_tasks(self) -> None:
        if self.member is not None:
            rng = random.Random()
            member = self.member
            self._start("sync_log", member.sync_own_log)
            self._start("apply", member.apply_committed)
            self._start("elections", lambda: run_elections(member=member, transport=self.peers, rng=rng))
            self._start("replication", lambda: run_replication(member=member, transport=self.peers))
            self._start("confirm", self._follow_leader)
            self._start("jobs", self.scheduler.run)
        else:
            self._start("watch", self._follow_upstream)
        self._start("expire", self._expire)
        self._start("applied_times", self._sample_index)

    def _start(self, name: str, loop: Callable[[], Awaitable[None]]) -> None:
        self.tasks.append(asyncio.create_task(_keep_running(name, loop), name=name))

    async def _follow_leader(self) -> None:
        member = self.member
        if member is None:
            return
        await follow_leader(
            replica=self.replica,
            freshness=self.freshness,
            peers=self.peers,
            find_leader=lambda: member.leader_daemon,
            own_confirmed_at=member.confirmed_at,
            own_name=self.settings.name,
        )

    async def _follow_upstream(self) -> None:
        await follow_upstream(
            replica=self.replica,
            freshness=self.freshness,
            peers=self.peers,
            upstreams=[
                name for name in _nearest_first(self.settings) if self.settings.peer(name=name).member
            ],
        )

    async def _expire(self) -> None:
        while True:
            self.registry.expire()
            await asyncio.sleep(EXPIRE_S)

    async def _sample_index(self) -> None:
        while True:
            self.applied_times.sample()
            await asyncio.sleep(SAMPLE_S)


def _nearest_first(settings: DaemonSettings) -> list[str]:
    others = sorted(settings.others(), key=lambda peer: (peer.zone != settings.zone, peer.name))
    return [peer.name for peer in others]


async def _keep_running(name: str, loop: Callable[[], Awaitable[None]]) -> None:
    while True:
        try:
            await loop()
            return
        except Exception as error:
            log_event(Event.TASK_FAILED, task=name, error=repr(error))
            await asyncio.sleep(RESTART_S)


__all__ = ["Daemon"]
