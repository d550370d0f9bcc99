"""Components of a daemon that forward requests to endpoints."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hyssopway.control.record import VmState
from hyssopway.endpoint import EndpointHealth, EndpointRegistry
from hyssopway.gateway import Gateway
from hyssopway.gateway.claims import ClaimManager
from hyssopway.gateway.forwarder import Forwarder
from hyssopway.gateway.sessions import open_session
from hyssopway.metrics import Metrics
from hyssopway.routing import CreditLedger, HeldCreditCollector, HomeDirectory, Router

from .control_group import nearest_first

if TYPE_CHECKING:
    import aiohttp

    from .control_group import ControlGroup

EXPIRY_INTERVAL_S = 0.25


class RequestComponents:
    """Endpoints, slot credits and the gateway of callers.

    Attributes:
        group: Replicated state and clients of the other daemons.
        metrics: Latencies and counters of requests.
        registry: Endpoints whose home is this daemon.
        ledger: Slot credits issued by this daemon.
        homes: Endpoint summaries of all homes.
        router: Slot credits held by this daemon and request queues.
        collector: Collects the credits that other daemons still hold when an endpoint registers.
        session: HTTP client of endpoints; reuses connections.
        single_use_session: HTTP client with a new connection per request, for requests that must not run twice.
        claims: Claims of non-idempotent requests.
        gateway: HTTP interface for callers.
    """

    __slots__ = (
        "claims",
        "collector",
        "gateway",
        "group",
        "homes",
        "ledger",
        "metrics",
        "registry",
        "router",
        "session",
        "single_use_session",
    )

    session: aiohttp.ClientSession
    single_use_session: aiohttp.ClientSession
    claims: ClaimManager
    gateway: Gateway

    def __init__(self, *, group: ControlGroup) -> None:
        self.group = group
        settings, clock = group.settings, group.clock
        self.metrics = Metrics()
        self.registry = EndpointRegistry(clock=clock, may_serve=self._vm_may_serve)
        self.ledger = CreditLedger(registry=self.registry, clock=clock, entries=len(settings.peers))
        self.homes = HomeDirectory(
            own_name=settings.name,
            ledger=self.ledger,
            peers=group.peers,
            others={peer.name: peer.zone == settings.zone for peer in settings.other_peers()},
            clock=clock,
        )
        self.router = Router(homes=self.homes, health=EndpointHealth(clock=clock), clock=clock)
        self.collector = HeldCreditCollector(
            own_name=settings.name,
            ledger=self.ledger,
            router=self.router,
            peers=group.peers,
            others=nearest_first(settings),
            own_zone=frozenset(peer.name for peer in settings.other_peers() if peer.zone == settings.zone),
        )
        self.registry.on_new_endpoint = self.collector.start

    def open(self) -> None:
        """Opens the HTTP clients, which need a running event loop, and builds the gateway."""
        group = self.group
        self.session = open_session(reuse_connections=True)
        self.single_use_session = open_session(reuse_connections=False)
        self.claims = ClaimManager(own_name=group.settings.name, submitter=group.submitter)
        self.gateway = Gateway(
            replica=group.replica,
            freshness=group.freshness,
            router=self.router,
            forwarder=Forwarder(
                claims=self.claims,
                session=self.session,
                single_use_session=self.single_use_session,
                clock=group.clock,
            ),
            metrics=self.metrics,
            max_body_bytes=group.settings.max_body_bytes,
            clock=group.clock,
        )

    async def close(self) -> None:
        """Closes the HTTP clients."""
        await self.session.close()
        await self.single_use_session.close()

    async def expire(self) -> None:
        """Expires endpoint leases and credits for the lifetime of the daemon."""
        while True:
            self.registry.remove_expired()
            self.ledger.expire()
            await asyncio.sleep(EXPIRY_INTERVAL_S)

    def _vm_may_serve(self, name: str) -> bool:
        # A VM without a worker is not in the replicated state, so it cannot be drained through it.
        vm = self.group.replica.state.tables.vms.get(name)
        return vm is None or vm.state is VmState.READY


__all__ = ["RequestComponents"]
