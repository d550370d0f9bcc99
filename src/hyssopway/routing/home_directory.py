"""Service summaries of the homes of endpoints, and credit requests to them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pydantic import TypeAdapter

from hyssopway.peer import PeerUnreachableError

from .service_summary import ServiceSummary

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.clock import Clock
    from hyssopway.peer import CreditReply, CreditRequest, PeerDirectory

    from .ledger import CreditLedger

SUMMARY_TOPIC = "routing"
POLL_INTERVAL_S = 0.5
# Four missed polls.
SUMMARY_VALID_S = 2.0
CALL_TIMEOUT_S = 0.5
INITIAL_RTT_S = 0.002
EWMA_WEIGHT = 0.1

_SUMMARIES = TypeAdapter(list[ServiceSummary])


@dataclass(slots=True, kw_only=True)
class Home:
    """State of another daemon that can be the home of endpoints.

    Attributes:
        name: Name of the daemon.
        near: Whether it is in the same zone as this daemon.
        summaries: Summaries of its services by environment and name.
        heard_at: Local time in seconds at which the latest summaries were requested.
        way_s: Moving average of the round-trip time in seconds.
    """

    name: str
    near: bool
    summaries: dict[tuple[str, str], ServiceSummary] = field(default_factory=dict)
    heard_at: float = float("-inf")
    way_s: float = INITIAL_RTT_S


class HomeDirectory:
    """Polls the service summaries of the other homes and requests credits from homes.

    Attributes:
        own_name: Name of this daemon.
        ledger: Credits of endpoints whose home is this daemon.
        peers: Clients of the other daemons.
        others: State of the other daemons by name.
        summarise: Returns the summaries of this daemon's services.
    """

    __slots__ = ("clock", "ledger", "others", "own_name", "peers", "summarise")

    def __init__(
        self,
        *,
        own_name: str,
        ledger: CreditLedger,
        peers: PeerDirectory,
        others: dict[str, bool],
        clock: Clock,
    ) -> None:
        self.own_name = own_name
        self.ledger = ledger
        self.peers = peers
        self.others = {name: Home(name=name, near=near) for name, near in others.items()}
        self.clock = clock
        self.summarise: Callable[[], list[ServiceSummary]] = list

    async def request_credits(self, *, home: str, request: CreditRequest) -> CreditReply:
        """Requests credits from a home; this daemon's own ledger is called directly.

        Raises:
            PeerUnreachableError: The home didn't answer within 0.5 s.
        """
        if home == self.own_name:
            return self.ledger.handle_request(request)
        started = self.clock()
        reply = await self.peers.client(home).credits(request=request, timeout_s=CALL_TIMEOUT_S)
        peer_home = self.others[home]
        peer_home.way_s += EWMA_WEIGHT * (self.clock() - started - peer_home.way_s)
        return reply

    def find_homes(self, service: tuple[str, str], *, near: bool) -> list[Home]:
        """Returns the other homes in this zone (`near`) or in other zones that have endpoints of a service."""
        oldest = self.clock() - SUMMARY_VALID_S
        return [
            home
            for home in self.others.values()
            if home.near == near and home.heard_at > oldest and service in home.summaries
        ]

    def count_slots(self, service: tuple[str, str]) -> int:
        """Returns the number of slots of a service at this daemon and all known homes."""
        own = self.ledger.registry.available_endpoints(environment=service[0], service=service[1])
        return sum(endpoint.announcement.slots for endpoint in own) + sum(
            home.summaries[service].slots
            for near in (True, False)
            for home in self.find_homes(service, near=near)
        )

    def handle_exchange(self, _: object) -> list[ServiceSummary]:
        """Returns this daemon's summaries to a peer that polls them."""
        return self.summarise()

    async def run(self) -> None:
        """Polls the summaries of all other daemons periodically, until cancelled."""
        while True:
            await asyncio.gather(*(self._fetch_summaries(home) for home in self.others.values()))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _fetch_summaries(self, home: Home) -> None:
        started = self.clock()
        try:
            data = await self.peers.client(home.name).exchange(
                topic=SUMMARY_TOPIC, data=b"{}", timeout_s=CALL_TIMEOUT_S
            )
        except PeerUnreachableError:
            return
        home.heard_at = started
        home.summaries = {(item.environment, item.service): item for item in _SUMMARIES.validate_json(data)}


__all__ = ["SUMMARY_TOPIC", "SUMMARY_VALID_S", "Home", "HomeDirectory"]
