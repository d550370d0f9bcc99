"""Homes of endpoints: what is known of them and the way to ask them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pydantic import TypeAdapter

from hyssopway.peer import PeerUnreachableError

from .summary import Summary

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.clock import Clock
    from hyssopway.peer import CreditReply, CreditRequest, PeerDirectory

    from .ledger import CreditLedger

SUMMARY_TOPIC = "routing"
EXCHANGE_S = 0.5
# Four missed exchanges.
SUMMARY_VALID_S = 2.0
CALL_TIMEOUT_S = 0.5
FIRST_WAY_S = 0.002
SMOOTHING = 0.1

_SUMMARIES = TypeAdapter(list[Summary])


@dataclass(slots=True, kw_only=True)
class Home:
    """What is known of another daemon.

    Attributes:
        name: Name.
        near: Whether it is in the own zone.
        summaries: Its services by environment and name.
        heard_at: Local time at which the summaries were asked for.
        way_s: Mean time of a call.
    """

    name: str
    near: bool
    summaries: dict[tuple[str, str], Summary] = field(default_factory=dict)
    heard_at: float = float("-inf")
    way_s: float = FIRST_WAY_S


class HomeDirectory:
    """Homes that endpoints may have announced to.

    Attributes:
        own_name: Name of this daemon.
        ledger: Credits of endpoints whose home is this daemon.
        peers: Clients of the other daemons.
        others: The other daemons.
        summarise: Returns the own summaries.
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
        self.summarise: Callable[[], list[Summary]] = list

    async def request_credits(self, *, home: str, request: CreditRequest) -> CreditReply:
        """Asks a home for credits.

        Raises:
            PeerUnreachableError: The home did not answer in time.
        """
        if home == self.own_name:
            return self.ledger.handle_request(request)
        started = self.clock()
        reply = await self.peers.client(home).credits(request=request, timeout_s=CALL_TIMEOUT_S)
        known = self.others[home]
        known.way_s += SMOOTHING * (self.clock() - started - known.way_s)
        return reply

    def known(self, service: tuple[str, str], *, near: bool) -> list[Home]:
        """Returns the other homes that have endpoints of a service."""
        oldest = self.clock() - SUMMARY_VALID_S
        return [
            home
            for home in self.others.values()
            if home.near == near and home.heard_at > oldest and service in home.summaries
        ]

    def slots(self, service: tuple[str, str]) -> int:
        """Returns the slots of a service at all known homes."""
        own = self.ledger.registry.serving(environment=service[0], service=service[1])
        return sum(endpoint.announcement.slots for endpoint in own) + sum(
            home.summaries[service].slots for near in (True, False) for home in self.known(service, near=near)
        )

    def handle_exchange(self, _: object) -> list[Summary]:
        """Answers an exchange."""
        return self.summarise()

    async def run(self) -> None:
        """Asks all other daemons for their summaries again and again."""
        while True:
            await asyncio.gather(*(self._exchange(home) for home in self.others.values()))
            await asyncio.sleep(EXCHANGE_S)

    async def _exchange(self, home: Home) -> None:
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
