"""Builds and runs the parts of one daemon process."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import web

from hyssopway.agreement import Configuration, Member, Store, run_elections, run_replication
from hyssopway.clock import monotonic_s, wall_ms
from hyssopway.endpoint import EndpointRegistry
from hyssopway.event import Event, log_event
from hyssopway.fleet import FleetController, Reboots, SessionsExchange, VmRequests
from hyssopway.gateway import Gateway
from hyssopway.gateway.claims import ClaimKeeper
from hyssopway.http import json_response
from hyssopway.job import JobScheduler
from hyssopway.metrics import Metrics
from hyssopway.operator_api import (
    EndpointRoutes,
    FleetRoutes,
    JobRoutes,
    OperatorRoutes,
    WaveRoutes,
    WorkerRoutes,
)
from hyssopway.peer import PeerDirectory, PeerServer
from hyssopway.platform import PlatformClient
from hyssopway.replica import Freshness, Replica, Submitter, follow_leader, follow_upstream
from hyssopway.routing import CreditLedger, Router
from hyssopway.worker import WorkerSessions

from .dump import dump_daemon
from .peer_calls import PeerCalls
from .status import collect_status, own_status

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hyssopway.settings import DaemonSettings

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
        self.peers = PeerDirectory(settings=settings)
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
        self.vm_requests = VmRequests(
            registry=self.registry,
            ledger=self.ledger,
            router=self.router,
            peers=self.peers,
            replica=self.replica,
        )
        self.sessions = WorkerSessions(
            own_name=settings.name,
            replica=self.replica,
            freshness=self.freshness,
            submitter=self.submitter,
            clock=clock,
            count_requests=self.vm_requests.count,
        )
        self.silences = SessionsExchange(sessions=self.sessions, peers=self.peers)
        self.fleet = FleetController(
            replica=self.replica,
            submitter=self.submitter,
            leads=self.leads,
            collect=self.silences.collect,
            clock=clock,
            wall_ms=wall_ms,
        )
        self.scheduler = JobScheduler(replica=self.replica, submitter=self.submitter, leads=self.leads)
        self.calls = PeerCalls(
            member=self.member, replica=self.replica, freshness=self.freshness, ledger=self.ledger
        )
        self.calls.exchanges["status"] = lambda _: own_status(self)
        self.calls.exchanges["vm_requests"] = self.vm_requests.own
        self.calls.exchanges["workers"] = lambda _: self.silences.own()
        self.peer_server = PeerServer(handlers=self.calls, token=settings.peer_token)

    def leads(self) -> bool:
        """Tells whether this daemon leads its region."""
        return self.member is not None and self.member.is_leader

    async def start(self) -> None:
        """Opens durable state, starts all tasks and listens."""
        own = self.settings.own
        if self.member is not None:
            self.member.open(initial=self._initial_configuration() if self.initialise else None)
        await self.peer_server.open(host=own.host, port=own.peer_port)
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
        if self.settings.platform_url is not None:
            platform = PlatformClient(url=self.settings.platform_url, session=self.session)
            self.fleet.reboots = Reboots(platform=platform)
        self._start_tasks()
        self.runner = web.AppRunner(self._build_app(), access_log=None)
        await self.runner.setup()
        await web.TCPSite(self.runner, own.host, own.http_port).start()
        log_event(
            Event.DAEMON_STARTED,
            daemon=self.settings.name,
            zone=self.settings.zone,
            http=f"{own.host}:{own.http_port}",
            peer=f"{own.host}:{own.peer_port}",
        )

    async def stop(self) -> None:
        """Stops gracefully: health turns first, then requests in progress finish."""
        self.stopping = True
        log_event(Event.DAEMON_STOPPING, open_requests=self.gateway.open_requests)
        deadline = self.clock() + self.settings.shutdown_s
        while self.gateway.open_requests and self.clock() < deadline:  # noqa: ASYNC110  bounded by shutdown_s
            await asyncio.sleep(0.05)
        await self.runner.cleanup()
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

    def _initial_configuration(self) -> Configuration:
        return Configuration(voters=tuple(f"{peer.name}/0" for peer in self.settings.peers if peer.member))

    def _build_app(self) -> web.Application:
        app = web.Application(client_max_size=self.settings.max_body_bytes)
        app.router.add_get("/health", self._answer_health)
        self.gateway.add_routes(app)
        EndpointRoutes(registry=self.registry, token=self.settings.fleet_token).add_routes(app)
        WorkerRoutes(sessions=self.sessions, token=self.settings.fleet_token).add_routes(app)
        JobRoutes(replica=self.replica, freshness=self.freshness, submitter=self.submitter).add_routes(app)
        OperatorRoutes(
            replica=self.replica,
            submitter=self.submitter,
            token=self.settings.operator_token,
            read_status=lambda: collect_status(self),
            read_dump=self.dump,
        ).add_routes(app)
        WaveRoutes(
            replica=self.replica,
            submitter=self.submitter,
            token=self.settings.operator_token,
            wall_ms=wall_ms,
        ).add_routes(app)
        FleetRoutes(
            replica=self.replica,
            submitter=self.submitter,
            token=self.settings.operator_token,
            wall_ms=wall_ms,
        ).add_routes(app)
        return app

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
            self._start("fleet", self.fleet.run)
        else:
            self._start("watch", self._follow_upstream)
        self._start("expire", self._expire)

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
