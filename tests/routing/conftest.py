"""Fixtures for routing with several daemons in one process."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest
from pydantic_core import from_json, to_json

from hyssopway.endpoint import Announcement, EndpointHealth, EndpointRegistry
from hyssopway.peer import PeerUnreachableError
from hyssopway.routing import CreditLedger, HeldCreditCollector, HomeDirectory, Router


@dataclass(slots=True)
class ManualClock:
    """Clock that tests advance explicitly."""

    now: float = 1000.0

    def __call__(self) -> float:
        """Returns the time in seconds."""
        return self.now


@dataclass(slots=True)
class FakePeers:
    """Peer directory for daemons in this process; calls to those in `unreachable` fail."""

    daemons: dict[str, Entry] = field(default_factory=dict)
    unreachable: set[str] = field(default_factory=set)
    calls: int = 0
    caller: str = ""

    def client(self, name: str) -> FakeClient:
        """Returns a client for a daemon."""
        return FakeClient(peers=self, name=name)


@dataclass(slots=True)
class FakeClient:
    """Client that calls another daemon directly."""

    peers: FakePeers
    name: str

    def _target(self) -> Entry:
        self.peers.calls += 1
        if self.name in self.peers.unreachable:
            raise PeerUnreachableError(f"{self.name} is unreachable")
        return self.peers.daemons[self.name]

    async def credits(self, *, request, timeout_s):
        """Requests credits from the daemon's ledger."""
        return self._target().ledger.handle_request(request)

    async def held_credits(self, *, endpoint, timeout_s):
        """Returns the credits that the daemon holds for an endpoint."""
        return self._target().router.reassign_home(endpoint=endpoint, home=self.peers.caller)

    async def exchange(self, *, topic, data, timeout_s):
        """Returns the holders of credits that the daemon issued."""
        return to_json(self._target().collector.report_grants(from_json(data)))


@dataclass(slots=True)
class Entry:
    """Routing components of one daemon."""

    name: str
    registry: EndpointRegistry
    ledger: CreditLedger
    homes: HomeDirectory
    router: Router
    health: EndpointHealth
    collector: HeldCreditCollector

    def announce(self, name: str, *, age_s: float = 10.0, **fields) -> None:
        """Announces an endpoint; the default age is beyond its slow start."""
        announcement = Announcement(service="plan", address=f"http://{name}:1", **fields)
        endpoint = self.registry.announce(name=name, announcement=announcement)
        endpoint.announced_at -= age_s


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def peers() -> FakePeers:
    return FakePeers()


@pytest.fixture
def make_entry(peers: FakePeers, clock: ManualClock):
    """Makes an entry daemon that knows all daemons made before it; they share its zone if `near`."""

    def make(name: str, *, near: bool = True, entries: int = 6) -> Entry:
        registry = EndpointRegistry(clock=clock)
        ledger = CreditLedger(registry=registry, clock=clock, entries=entries, rng=random.Random(1))
        others = dict.fromkeys(peers.daemons, near)
        homes = HomeDirectory(own_name=name, ledger=ledger, peers=peers, others=others, clock=clock)
        health = EndpointHealth(clock=clock)
        router = Router(homes=homes, health=health, clock=clock)
        collector = HeldCreditCollector(
            own_name=name,
            ledger=ledger,
            router=router,
            peers=peers,
            others=list(others),
            own_zone=frozenset(others if near else ()),
        )
        entry = Entry(name, registry, ledger, homes, router, health, collector)
        peers.daemons[name] = entry
        return entry

    return make


@pytest.fixture
def share_summaries(peers: FakePeers, clock: ManualClock):
    """Gives an entry the summaries of all other daemons."""

    def share_all(entry: Entry) -> None:
        for home in entry.homes.others.values():
            summaries = peers.daemons[home.name].router.summarise()
            home.summaries = {(item.environment, item.service): item for item in summaries}
            home.heard_at = clock()

    return share_all
