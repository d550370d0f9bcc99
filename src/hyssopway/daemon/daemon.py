"""Builds, starts and stops one daemon process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from hyssopway.clock import monotonic_s
from hyssopway.event import Event, log_event
from hyssopway.fleet import VM_REQUESTS_TOPIC
from hyssopway.http import HttpListener
from hyssopway.http.request_limits import RequestLimits
from hyssopway.http.request_memory import RequestMemory
from hyssopway.peer import PeerServer
from hyssopway.routing import SUMMARY_TOPIC
from hyssopway.settings import http_context, peer_server_context

from .background_tasks import start_tasks
from .control_group import ControlGroup
from .dump import dump_daemon
from .exchange_handlers import build_exchange_handlers
from .fleet_components import FleetComponents
from .http_application import HttpApplication
from .job_components import JobComponents
from .member_startup import open_member
from .peer_calls import PeerCallHandler
from .reloading import reload_settings
from .request_components import RequestComponents

if TYPE_CHECKING:
    from pathlib import Path

    from hyssopway.settings import DaemonSettings

CLAIMS_TIMEOUT_S = 5.0


class Daemon:
    """One daemon process with all its components.

    Attributes:
        settings: Settings of the daemon.
        initialise: Whether a new group of control members is started on an empty data folder.
        stopping: Whether the health check fails so that the load balancer stops sending requests.
        tasks: Background tasks; `background_tasks` lists them.
        group: Replicated state and clients of the other daemons.
        replica: Local copy of the replicated state.
        freshness: Age of the last confirmation that the replica is current.
        member: Control member; None on a daemon without a data folder.
        requests: Components that forward requests to endpoints.
        fleet: Components that maintain the fleet.
        peer_calls: Handles calls of other daemons; `exchange_handlers` lists the topics.
        jobs: Components that place jobs and control runs.
        http: HTTP application.
    """

    def __init__(self, *, settings: DaemonSettings, initialise: bool = False) -> None:
        self.settings = settings
        self.initialise = initialise
        self.stopping = False
        self.tasks: list[asyncio.Task[None]] = []
        self.group = ControlGroup(settings=settings, clock=monotonic_s)
        self.replica = self.group.replica
        self.freshness = self.group.freshness
        self.member = self.group.member
        self.requests = RequestComponents(group=self.group)
        self.fleet = FleetComponents(group=self.group, requests=self.requests)
        self.peer_calls = PeerCallHandler(
            member=self.member,
            proposer=self.group.proposer,
            replica=self.replica,
            freshness=self.freshness,
            ledger=self.requests.ledger,
            router=self.requests.router,
        )
        self.peer_calls.reported_contacts = {}
        self.jobs = JobComponents(group=self.group, fleet=self.fleet, peer_calls=self.peer_calls)
        self.peer_calls.exchange_handlers.update(build_exchange_handlers(self))
        self.peer_server = PeerServer(handlers=self.peer_calls, token=settings.peer_token)
        self.http = HttpApplication(daemon=self)

    async def start(self) -> None:
        """Opens the data folder, starts all background tasks and listens on the peer and HTTP ports."""
        own = self.settings.own_address
        if self.member is not None:
            await open_member(self, member=self.member)
        tls = self.settings.tls
        await self.peer_server.open(
            host=own.host, port=own.peer_port, tls=peer_server_context(tls) if tls else None
        )
        self.requests.open()
        self.fleet.open()
        self.tasks = start_tasks(self)
        self.listener = HttpListener(
            app=self.http.build(),
            shutdown_s=self.settings.shutdown_s,
            max_connections=self.settings.max_connections,
            limits=RequestLimits.for_streams(
                max_head_bytes=self.settings.max_head_bytes, max_body_bytes=self.settings.max_body_bytes
            ),
            memory=RequestMemory(memory_mb=self.settings.memory_mb),
        )
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

        The health check fails first, and all requests are still served until the load balancer has stopped
        sending them. After that, no new connection is accepted and all requests in progress finish.
        """
        self.stopping = True
        log_event(Event.DAEMON_DRAINING, seconds=self.settings.drain_health_s)
        await asyncio.sleep(self.settings.drain_health_s)
        log_event(Event.DAEMON_STOPPING, open_requests=self.requests.gateway.open_requests)
        await self.listener.close(finish=self.requests.gateway.wait_idle)
        await self.requests.claims.wait_until_stored(timeout_s=CLAIMS_TIMEOUT_S)
        # Other daemons would take an answer after the stop announcement for a restart of this daemon.
        for topic in (SUMMARY_TOPIC, VM_REQUESTS_TOPIC):
            self.peer_calls.exchange_handlers.pop(topic)
        await self.fleet.vm_requests.announce_stop(self.settings.name)
        for task in self.tasks:
            task.cancel()
        self.requests.router.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.peer_server.close()
        self.group.peers.close()
        await self.requests.close()
        await self.fleet.close()
        if self.member is not None:
            await self.member.stop()
        log_event(Event.DAEMON_STOPPED)

    def dump(self) -> dict[str, Any]:
        """Returns a dump of the state of this process, without secrets."""
        return dump_daemon(self)

    def reload(self, path: Path) -> None:
        """Reloads the settings file."""
        reload_settings(self, path=path)


__all__ = ["Daemon"]
