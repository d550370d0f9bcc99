"""Fakes for credits without processes."""

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
    """Time that moves only when a test says so."""

    now: float = 1000.0

    def __call__(self) -> float:
        """Returns the time."""
        return self.now


@dataclass(slots=True)
class FakePeers:
    """Other daemons of one process, by name; those in `silent` do not answer."""

    daemons: dict[str, Entry] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)
    calls: int = 0
    caller: str = ""

    def client(self, name: str) -> FakeClient:
        """Returns a client of a daemon."""
        return FakeClient(peers=self, name=name)


@dataclass(slots=True)
class FakeClient:
    """Calls of one daemon to another."""

    peers: FakePeers
    name: str

    def _target(self) -> Entry:
        self.peers.calls += 1
        if self.name in self.peers.silent:
            raise PeerUnreachableError(f"{self.name} is silent")
        return self.peers.daemons[self.name]

    async def credits(self, *, request, timeout_s):
        """Asks for credits."""
        return self._target().ledger.handle_request(request)

    async def held_credits(self, *, endpoint, timeout_s):
        """Asks for credits held."""
        return self._target().router.reassign_home(endpoint=endpoint, home=self.peers.caller)

    async def exchange(self, *, topic, data, timeout_s):
        """Asks for the credits that the daemon handed out."""
        return to_json(self._target().collector.report_grants(from_json(data)))


@dataclass(slots=True)
class Entry:
    """The parts of one daemon that route."""

    name: str
    registry: EndpointRegistry
    ledger: CreditLedger
    homes: HomeDirectory
    router: Router
    health: EndpointHealth
    collector: HeldCreditCollector

    def announce(self, name: str, *, age_s: float = 10.0, **fields) -> None:
        """Announces an endpoint that is past its slow start."""
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
    """Makes an entry daemon whose homes are all others made so far, in the same zone if `near`."""

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
def learn(peers: FakePeers, clock: ManualClock):
    """Lets an entry know the summaries of all others."""

    def learn_all(entry: Entry) -> None:
        for home in entry.homes.others.values():
            summaries = peers.daemons[home.name].router.summarise()
            home.summaries = {(item.environment, item.service): item for item in summaries}
            home.heard_at = clock()

    return learn_all
