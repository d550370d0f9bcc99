"""Builds and runs the parts of one daemon process."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import TYPE_CHECKING, Any

from aiohttp import web

from hyssopway.agreement import (
    Configuration,
    InitialiseRefusedError,
    Member,
    StorageError,
    Store,
    run_elections,
    run_replication,
)
from hyssopway.clock import monotonic_s, wall_ms
from hyssopway.control import AgreedClock
from hyssopway.control.record import VmState
from hyssopway.endpoint import EndpointHealth, EndpointRegistry
from hyssopway.event import Event, log_event
from hyssopway.fleet import (
    ENTRY_STOPPED_TOPIC,
    VM_REQUESTS_TOPIC,
    FleetController,
    Reboots,
    VmRequests,
)
from hyssopway.gateway import Gateway
from hyssopway.gateway.claims import ClaimKeeper
from hyssopway.gateway.forwarder import Forwarder
from hyssopway.gateway.sessions import open_session
from hyssopway.http import HttpListener, answer_errors, json_response
from hyssopway.job import JobScheduler, LostHomes, UsageBook
from hyssopway.metrics import Metrics
from hyssopway.operator_api import (
    EndpointRoutes,
    FleetRoutes,
    JobRoutes,
    MemberRoutes,
    OperatorRoutes,
    WaveRoutes,
    WorkerRoutes,
)
from hyssopway.peer import PeerDirectory, PeerServer
from hyssopway.platform import PlatformClient
from hyssopway.replica import Freshness, Proposer, Replica, Submitter, follow_leader, follow_upstream
from hyssopway.routing import GRANTS_TOPIC, SUMMARY_TOPIC, CreditLedger, HeldCollector, Homes, Router
from hyssopway.settings import http_context, peer_client_context, peer_server_context
from hyssopway.worker import WorkerSessions, watch_silence

from .applied_times import SAMPLE_S, AppliedTimes
from .dump import dump_daemon
from .load_push import LOAD_TOPIC, push_loads, take_loads
from .members import CHANGE_TOPIC, LIST_TOPIC, Members
from .peer_calls import PeerCalls
from .reloading import reload_settings
from .status import collect_status, group_with_state, own_status

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hyssopway.settings import DaemonSettings

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

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
        self.agreed_clock = AgreedClock(clock=clock)
        self.applied_times = AppliedTimes(clock=clock, read_index=lambda: self.replica.state.applied_index)
        tls = settings.tls
        self.peers = PeerDirectory(settings=settings, tls=peer_client_context(tls) if tls else None)
        self.member = self._build_member()
        self.proposer = self._build_proposer()
        self.submitter = Submitter(
            own_name=settings.name,
            proposer=self.proposer,
            peers=self.peers,
            members=[peer.name for peer in settings.peers if peer.member],
            replica=self.replica,
            clock=clock,
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
            near=frozenset(peer.name for peer in settings.others() if peer.zone == settings.zone),
        )
        self.registry.arrived = self.collector.begin
        self.vm_requests = VmRequests(
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
        self.fleet = FleetController(
            replica=self.replica,
            submitter=self.submitter,
            leads=self.leads,
            clock=clock,
            now_ms=self.now_ms,
        )
        self.usage = UsageBook()
        self.scheduler = JobScheduler(
            replica=self.replica,
            submitter=self.submitter,
            leads=self.leads,
            now_ms=self.now_ms,
            book=self.usage,
            clock=clock,
        )
        self.calls = PeerCalls(
            member=self.member,
            proposer=self.proposer,
            replica=self.replica,
            freshness=self.freshness,
            ledger=self.ledger,
            router=self.router,
        )
        self.lost_homes = LostHomes(
            own_name=settings.name,
            replica=self.replica,
            submitter=self.submitter,
            contacts=self.calls.contacts,
            leads=self.leads,
            clock=clock,
        )
        self.calls.exchanges[LOAD_TOPIC] = lambda loads: take_loads(self, loads)
        self.calls.exchanges[SUMMARY_TOPIC] = self.homes.answer
        self.calls.exchanges["status"] = lambda _: own_status(self)
        self.members = Members(
            own_name=settings.name,
            member=self.member,
            peers=self.peers,
            daemons=[peer.name for peer in settings.peers if peer.member],
            clock=clock,
        )
        self.calls.exchanges[LIST_TOPIC] = self.members.answer_list
        self.calls.exchanges[CHANGE_TOPIC] = self.members.answer_change
        self.calls.exchanges[GRANTS_TOPIC] = self.collector.own_grants
        self.calls.exchanges[VM_REQUESTS_TOPIC] = self.vm_requests.own
        self.calls.exchanges[ENTRY_STOPPED_TOPIC] = self.vm_requests.note_stopped
        self.peer_server = PeerServer(handlers=self.calls, token=settings.peer_token)
        self.endpoint_routes = EndpointRoutes(registry=self.registry, token=settings.fleet_token)
        self.worker_routes = WorkerRoutes(sessions=self.sessions, token=settings.fleet_token)
        self.operator_routes = OperatorRoutes(
            replica=self.replica,
            submitter=self.submitter,
            token=settings.operator_token,
            read_status=lambda index: collect_status(self, index=index),
            read_dump=self.dump,
            find_requests=self._find_requests,
        )

    def leads(self) -> bool:
        """Tells whether this daemon leads its region."""
        return self.member is not None and self.member.is_leader

    def now_ms(self) -> int:
        """Returns agreed time; on a daemon that does not lead it may lag behind the leader's."""
        return self.agreed_clock.read_ms(applied_ms=self.replica.state.tables.now_ms)

    async def start(self) -> None:
        """Opens durable state, starts all tasks and listens."""
        own = self.settings.own
        if self.member is not None:
            await self._open_member(self.member)
        tls = self.settings.tls
        await self.peer_server.open(
            host=own.host, port=own.peer_port, tls=peer_server_context(tls) if tls else None
        )
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
        if self.settings.platform_url is not None:
            platform = PlatformClient(url=self.settings.platform_url, session=self.session)
            self.fleet.reboots = Reboots(platform=platform)
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

    async def _open_member(self, member: Member) -> None:
        initial = None
        if self.initialise and not member.store.is_initialised:
            # A lost disk must not come back as the voter that it was: it could vote twice in a term.
            other = await group_with_state(self)
            if other:
                reason = f"{other} already has a group with committed state; start without --initialise"
                log_event(Event.INITIALISE_REFUSED, reason=reason)
                raise InitialiseRefusedError(reason)
            initial = self._initial_configuration()
        try:
            member.open(initial=initial)
        except OSError as error:
            raise StorageError(f"data folder {self.settings.data_dir}: {error}") from error
        if not member.configuration.members:
            log_event(Event.MEMBER_WAITS, member=member.member_id)

    async def stop(self) -> None:
        """Stops gracefully.

        Health turns first, and everything is still served until the balancer looks elsewhere. Then no new
        connection is accepted, and all requests in progress finish.
        """
        self.stopping = True
        log_event(Event.DAEMON_DRAINING, seconds=self.settings.drain_health_s)
        await asyncio.sleep(self.settings.drain_health_s)
        log_event(Event.DAEMON_STOPPING, open_requests=self.gateway.open_requests)
        await self.listener.close(finish=self.gateway.wait_idle)
        await self.claims.finish(timeout_s=CLAIMS_FINISH_S)
        # An answer after the message would look like a new start of this daemon.
        for topic in (SUMMARY_TOPIC, VM_REQUESTS_TOPIC):
            self.calls.exchanges.pop(topic)
        await self.vm_requests.say_stopped(self.settings.name)
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

    def _find_requests(self, request_id: str) -> list[Any]:
        # The gateway is built later than the routes.
        return list(self.gateway.records.find(request_id))

    def reload(self, path: Path) -> None:
        """Takes over a changed settings file."""
        reload_settings(self, path=path)

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

    def _build_proposer(self) -> Proposer | None:
        if self.member is None:
            return None
        return Proposer(
            member=self.member,
            replica=self.replica,
            agreed_clock=self.agreed_clock,
            wall_ms=wall_ms,
        )

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
        MemberRoutes(members=self.members, token=self.settings.operator_token).add_routes(app)
        self.operator_routes.add_routes(app)
        for routes in (WaveRoutes, FleetRoutes):
            routes(
                replica=self.replica,
                submitter=self.submitter,
                token=self.settings.operator_token,
                now_ms=self.now_ms,
            ).add_routes(app)
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
            self._start("lost_homes", self.lost_homes.run)
            self._start("fleet", self.fleet.run)
        else:
            self._start("watch", self._follow_upstream)
        self._start("expire", self._expire)
        self._start("loads", lambda: push_loads(self))
        self._start("silence", lambda: watch_silence(self.sessions))
        self._start("credits", self.router.run)
        self._start("summaries", self.homes.run)
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
            self.ledger.expire()
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
