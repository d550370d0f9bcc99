"""Builds and runs the parts of one daemon process."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import TYPE_CHECKING, Any

from aiohttp import web

from hyssopway.agreement import Configuration, Member, Store, run_elections, run_replication
from hyssopway.clock import monotonic_s, wall_ms
from hyssopway.control.record import VmState
from hyssopway.endpoint import EndpointHealth, EndpointRegistry
from hyssopway.event import Event, log_event
from hyssopway.gateway import Gateway
from hyssopway.gateway.claims import ClaimKeeper
from hyssopway.gateway.forwarder import Forwarder
from hyssopway.gateway.sessions import open_session
from hyssopway.http import Runner, guard_handlers, json_response
from hyssopway.job import JobScheduler
from hyssopway.metrics import Metrics
from hyssopway.operator_api import EndpointRoutes, JobRoutes, OperatorRoutes, WorkerRoutes
from hyssopway.peer import PeerDirectory, PeerServer
from hyssopway.replica import Freshness, Replica, Submitter, follow_leader, follow_upstream
from hyssopway.routing import TOPIC, CreditLedger, HeldCollector, Homes, Router
from hyssopway.worker import WorkerSessions

from .dump import dump_daemon
from .peer_calls import PeerCalls
from .status import collect_status, own_status

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hyssopway.settings import DaemonSettings

RESTART_S = 1.0
EXPIRE_S = 0.25
CLAIMS_FINISH_S = 5.0


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
        self.registry = EndpointRegistry(clock=clock, may_serve=self._vm_may_serve)
        self.ledger = CreditLedger(registry=self.registry, clock=clock, entries=len(settings.peers))
        self.homes = Homes(
            own_name=settings.name,
            ledger=self.ledger,
            peers=self.peers,
            others={peer.name: peer.zone == settings.zone for peer in settings.others()},
            clock=clock,
        )
        self.router = Router(homes=self.homes, health=EndpointHealth(clock=clock), clock=clock)
        self.collector = HeldCollector(
            own_name=settings.name,
            ledger=self.ledger,
            router=self.router,
            peers=self.peers,
            others=_nearest_first(settings),
        )
        self.registry.arrived = self.collector.begin
        self.sessions = WorkerSessions(
            own_name=settings.name,
            replica=self.replica,
            freshness=self.freshness,
            submitter=self.submitter,
            clock=clock,
        )
        self.scheduler = JobScheduler(replica=self.replica, submitter=self.submitter, leads=self.leads)
        self.calls = PeerCalls(
            member=self.member,
            replica=self.replica,
            freshness=self.freshness,
            ledger=self.ledger,
            router=self.router,
        )
        self.calls.exchanges[TOPIC] = self.homes.answer
        self.calls.exchanges["status"] = lambda _: own_status(self)
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
        self.session = open_session(reuse_connections=True)
        self.once_session = open_session(reuse_connections=False)
        self.claims = ClaimKeeper(own_name=self.settings.name, submitter=self.submitter)
        self.gateway = Gateway(
            replica=self.replica,
            freshness=self.freshness,
            router=self.router,
            forwarder=Forwarder(
                claims=self.claims,
                session=self.session,
                once_session=self.once_session,
                clock=self.clock,
            ),
            metrics=self.metrics,
            max_body_bytes=self.settings.max_body_bytes,
            clock=self.clock,
        )
        self._start_tasks()
        self.runner = Runner(self._build_app())
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
        await self.claims.finish(timeout_s=CLAIMS_FINISH_S)
        for task in self.tasks:
            task.cancel()
        self.router.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.peer_server.close()
        self.peers.close()
        await self.session.close()
        await self.once_session.close()
        if self.member is not None:
            self.member.store.close()
        log_event(Event.DAEMON_STOPPED)

    def dump(self) -> dict[str, Any]:
        """Returns the state of this process."""
        return dump_daemon(self)

    def _vm_may_serve(self, name: str) -> bool:
        # A VM without a worker is not in the agreed state and is not drained by it.
        vm = self.replica.state.tables.vms.get(name)
        return vm is None or vm.state is VmState.READY

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
        app = web.Application(client_max_size=self.settings.max_body_bytes, middlewares=[guard_handlers])
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
        else:
            self._start("watch", self._follow_upstream)
        self._start("expire", self._expire)
        self._start("credits", self.router.run)
        self._start("summaries", self.homes.run)

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
            self.ledger.expire()
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
