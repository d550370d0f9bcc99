"""Collects the credits still held for an endpoint that announces itself to a new home."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from pydantic_core import from_json, to_json

from hyssopway.endpoint import ENDPOINT_LEASE_S
from hyssopway.event import Event, log_event
from hyssopway.peer import PeerUnreachableError

from .ledger import CLOCK_DRIFT_MARGIN_S, CREDIT_LEASE_S

if TYPE_CHECKING:
    from hyssopway.endpoint import Endpoint
    from hyssopway.peer import Credit, PeerDirectory

    from .ledger import CreditLedger
    from .router import Router

GRANTS_TOPIC = "endpoint_grants"
CALL_TIMEOUT_S = 0.5
PAUSE_S = 0.25
# A home that is cut off from this daemon may hand out credits until the endpoint's lease there ends,
# and those are valid for one lease more.
BLOCKED_S = ENDPOINT_LEASE_S + CREDIT_LEASE_S + CLOCK_DRIFT_MARGIN_S


class HeldCreditCollector:
    """Keeps the sum of credits within the slots when an endpoint changes its home.

    Attributes:
        own_name: Name of this daemon.
        ledger: Credits of endpoints whose home is this daemon.
        router: Credits held by this daemon.
        peers: Clients of the other daemons.
        others: Names of the other daemons.
        near: Those of them in the own zone; only they can have been home of an endpoint here.
        started_at: Local time at which this process began; it does not know earlier credits of its own.
        tasks: Collections in progress.
    """

    __slots__ = ("ledger", "others", "own_name", "own_zone", "peers", "router", "started_at", "tasks")

    def __init__(
        self,
        *,
        own_name: str,
        ledger: CreditLedger,
        router: Router,
        peers: PeerDirectory,
        others: list[str],
        own_zone: frozenset[str],
    ) -> None:
        self.own_name = own_name
        self.ledger = ledger
        self.router = router
        self.peers = peers
        self.others = others
        self.own_zone = own_zone
        self.started_at = ledger.clock()
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self, endpoint: Endpoint) -> None:
        """Blocks an endpoint that is new here until all daemons answered or their leases ended."""
        endpoint.blocked_until = self.ledger.clock() + BLOCKED_S
        task = asyncio.create_task(self.collect(endpoint))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def collect(self, endpoint: Endpoint) -> None:
        """Asks every daemon until it answers or its leases ended."""
        held = self.router.reassign_home(endpoint=endpoint.name, home=self.own_name)
        self.ledger.adopt(held, daemon=self.own_name)
        missing = list(self.others)
        while missing and self.ledger.clock() < endpoint.blocked_until:
            answers = await asyncio.gather(*(self._ask(name, endpoint=endpoint.name) for name in missing))
            for name, answer in zip(missing, answers, strict=True):
                if answer is not None:
                    self.ledger.adopt(answer, daemon=name)
            missing = [name for name, answer in zip(missing, answers, strict=True) if answer is None]
            missing = await self._select_holders(missing, endpoint=endpoint.name)
            if missing:
                await asyncio.sleep(PAUSE_S)
        if missing:
            log_event(Event.HOLDERS_SILENT, endpoint=endpoint.name, daemons=", ".join(missing))
        endpoint.blocked_until = 0.0

    def report_grants(self, endpoint: str) -> dict[str, Any]:
        """Returns which daemons hold credits that this one handed out, and how long it has known."""
        now = self.ledger.clock()
        grants = self.ledger.grants.values()
        holders = {item.daemon for item in grants if item.endpoint == endpoint and item.expires_at > now}
        return {"holders": sorted(holders), "uptime_s": now - self.started_at}

    async def _select_holders(self, silent: list[str], *, endpoint: str) -> list[str]:
        """Returns the silent daemons that may hold a credit.

        Silence alone proves nothing: a daemon that is cut off from here may be the endpoint's earlier home
        or in contact with it. A daemon of another zone got its credits from a home of this zone, and each
        of those knows what it handed out.
        """
        if not silent or any(name in self.own_zone for name in silent):
            return silent
        answers = await asyncio.gather(*(self._ask_grants(name, endpoint=endpoint) for name in self.own_zone))
        known = [answer for answer in (*answers, self.report_grants(endpoint)) if answer is not None]
        if len(known) <= len(self.own_zone) or any(answer["uptime_s"] < BLOCKED_S for answer in known):
            return silent
        return [name for name in silent if any(name in answer["holders"] for answer in known)]

    async def _ask_grants(self, name: str, *, endpoint: str) -> dict[str, Any] | None:
        try:
            data = await self.peers.client(name).exchange(
                topic=GRANTS_TOPIC, data=to_json(endpoint), timeout_s=CALL_TIMEOUT_S
            )
        except PeerUnreachableError:
            return None
        answer: dict[str, Any] = from_json(data)
        return answer

    async def _ask(self, name: str, *, endpoint: str) -> list[Credit] | None:
        try:
            return await self.peers.client(name).held_credits(endpoint=endpoint, timeout_s=CALL_TIMEOUT_S)
        except PeerUnreachableError:
            return None


__all__ = ["BLOCKED_S", "GRANTS_TOPIC", "HeldCreditCollector"]
