"""Collects the credits still held for an endpoint that announces itself to a new home."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hyssopway.endpoint import ENDPOINT_LEASE_S
from hyssopway.event import Event, log_event
from hyssopway.peer import PeerUnreachableError

from .ledger import CREDIT_LEASE_S, HOME_MARGIN_S

if TYPE_CHECKING:
    from hyssopway.endpoint import Endpoint
    from hyssopway.peer import Credit, PeerDirectory

    from .ledger import CreditLedger
    from .router import Router

CALL_TIMEOUT_S = 0.5
PAUSE_S = 0.25
# A home that is cut off from this daemon may hand out credits until the endpoint's lease there ends,
# and those are valid for one lease more.
BLOCKED_S = ENDPOINT_LEASE_S + CREDIT_LEASE_S + HOME_MARGIN_S


class HeldCollector:
    """Keeps the sum of credits within the slots when an endpoint changes its home.

    Attributes:
        own_name: Name of this daemon.
        ledger: Credits of endpoints whose home is this daemon.
        router: Credits held by this daemon.
        peers: Clients of the other daemons.
        others: Names of the other daemons.
        tasks: Collections in progress.
    """

    __slots__ = ("ledger", "others", "own_name", "peers", "router", "tasks")

    def __init__(
        self, *, own_name: str, ledger: CreditLedger, router: Router, peers: PeerDirectory, others: list[str]
    ) -> None:
        self.own_name = own_name
        self.ledger = ledger
        self.router = router
        self.peers = peers
        self.others = others
        self.tasks: set[asyncio.Task[None]] = set()

    def begin(self, endpoint: Endpoint) -> None:
        """Blocks an endpoint that is new here until all daemons answered or their leases ended."""
        endpoint.blocked_until = self.ledger.clock() + BLOCKED_S
        task = asyncio.create_task(self.collect(endpoint))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def collect(self, endpoint: Endpoint) -> None:
        """Asks every daemon until it answers or its leases ended."""
        held = self.router.hand_over(endpoint=endpoint.name, home=self.own_name)
        self.ledger.adopt(held, daemon=self.own_name)
        missing = list(self.others)
        while missing and self.ledger.clock() < endpoint.blocked_until:
            answers = await asyncio.gather(*(self._ask(name, endpoint=endpoint.name) for name in missing))
            for name, answer in zip(missing, answers, strict=True):
                if answer is not None:
                    self.ledger.adopt(answer, daemon=name)
            missing = [name for name, answer in zip(missing, answers, strict=True) if answer is None]
            if missing:
                await asyncio.sleep(PAUSE_S)
        if missing:
            log_event(Event.HOLDERS_SILENT, endpoint=endpoint.name, daemons=", ".join(missing))
        endpoint.blocked_until = 0.0

    async def _ask(self, name: str, *, endpoint: str) -> list[Credit] | None:
        try:
            return await self.peers.client(name).held_credits(endpoint=endpoint, timeout_s=CALL_TIMEOUT_S)
        except PeerUnreachableError:
            return None


__all__ = ["BLOCKED_S", "HeldCollector"]
