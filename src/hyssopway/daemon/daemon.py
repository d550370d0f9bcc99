"""Builds, starts and stops one daemon process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from hyssopway.clock import monotonic_s
from hyssopway.event import Event, log_event
from hyssopway.fleet import VM_REQUESTS_TOPIC
from hyssopway.http import HttpListener
from hyssopway.peer import PeerServer
from hyssopway.routing import SUMMARY_TOPIC
from hyssopway.settings import http_context, peer_server_context

from .background_tasks import start_tasks
from .control_group import ControlGroup
from .dump import dump_daemon
from .exchanges import list_exchanges
from .fleet_parts import FleetParts
from .http_application import HttpApplication
from .job_path import JobPath
from .opening import open_member
from .peer_calls import PeerCallHandler
from .reloading import reload_settings
from .request_path import RequestPath

if TYPE_CHECKING:
    from pathlib import Path

    from hyssopway.settings import DaemonSettings

CLAIMS_FINISH_S = 5.0


class Daemon:
    """All parts of one daemon.

    Attributes:
        settings: Its settings.
        initialise: Whether a new group of control members is started on an empty data folder.
        stopping: Whether health is reported as failing so that the balancer looks elsewhere.
        tasks: Tasks that run for as long as the daemon; `background_tasks` lists them.
        group: Agreed state and ways to the other daemons.
        replica: Agreed state.
        freshness: How current the replica is.
        member: Control member; None without a disk.
        requests: Request path.
        fleet: Maintenance of the fleet.
        calls: Answers to other daemons; `exchanges` lists the topics.
        jobs: Job path.
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
        self.requests = RequestPath(group=self.group)
        self.fleet = FleetParts(group=self.group, requests=self.requests)
        self.calls = PeerCallHandler(
            member=self.member,
            proposer=self.group.proposer,
            replica=self.replica,
            freshness=self.freshness,
            ledger=self.requests.ledger,
            router=self.requests.router,
        )
        self.calls.reported_contacts = {}
        self.jobs = JobPath(group=self.group, fleet=self.fleet, calls=self.calls)
        self.calls.exchanges.update(list_exchanges(self))
        self.peer_server = PeerServer(handlers=self.calls, token=settings.peer_token)
        self.http = HttpApplication(daemon=self)

    async def start(self) -> None:
        """Opens durable state, starts all tasks and listens."""
        own = self.settings.own
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

        Health turns first, and everything is still served until the balancer looks elsewhere. Then no new
        connection is accepted, and all requests in progress finish.
        """
        self.stopping = True
        log_event(Event.DAEMON_DRAINING, seconds=self.settings.drain_health_s)
        await asyncio.sleep(self.settings.drain_health_s)
        log_event(Event.DAEMON_STOPPING, open_requests=self.requests.gateway.open_requests)
        await self.listener.close(finish=self.requests.gateway.wait_idle)
        await self.requests.claims.finish(timeout_s=CLAIMS_FINISH_S)
        # An answer after the message would look like a new start of this daemon.
        for topic in (SUMMARY_TOPIC, VM_REQUESTS_TOPIC):
            self.calls.exchanges.pop(topic)
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
        """Returns the state of this process."""
        return dump_daemon(self)

    def reload(self, path: Path) -> None:
        """Takes over a changed settings file."""
        reload_settings(self, path=path)


__all__ = ["Daemon"]
