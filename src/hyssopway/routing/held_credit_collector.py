"""Collects the outstanding credits of an endpoint that announces itself to a new home."""

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
RETRY_PAUSE_S = 0.25
# A partitioned former home may issue credits until the endpoint's lease there expires, and these credits
# are valid for one more credit lease.
MAX_BLOCK_S = ENDPOINT_LEASE_S + CREDIT_LEASE_S + CLOCK_DRIFT_MARGIN_S


class HeldCreditCollector:
    """Keeps the number of credits within the number of slots when an endpoint changes its home.

    Attributes:
        own_name: Name of this daemon.
        ledger: Credits of endpoints whose home is this daemon.
        router: Router with the credits held by this daemon.
        peers: Clients of the other daemons.
        others: Names of the other daemons.
        own_zone: Names of the other daemons in the same zone; only these can be a former home of an endpoint.
        started_at: Local time in seconds of the process start; credits issued before it are unknown here.
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
        """Blocks a newly announced endpoint until all daemons have answered or their leases have expired."""
        endpoint.blocked_until = self.ledger.clock() + MAX_BLOCK_S
        task = asyncio.create_task(self.collect(endpoint))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def collect(self, endpoint: Endpoint) -> None:
        """Adopts the credits held by each daemon, and retries until all answer or their leases have expired."""
        held = self.router.reassign_home(endpoint=endpoint.name, home=self.own_name)
        self.ledger.adopt(held, daemon=self.own_name)
        missing = list(self.others)
        while missing and self.ledger.clock() < endpoint.blocked_until:
            answers = await asyncio.gather(
                *(self._fetch_held_credits(name, endpoint=endpoint.name) for name in missing)
            )
            for name, answer in zip(missing, answers, strict=True):
                if answer is not None:
                    self.ledger.adopt(answer, daemon=name)
            missing = [name for name, answer in zip(missing, answers, strict=True) if answer is None]
            missing = await self._filter_possible_holders(missing, endpoint=endpoint.name)
            if missing:
                await asyncio.sleep(RETRY_PAUSE_S)
        if missing:
            log_event(Event.HOLDERS_SILENT, endpoint=endpoint.name, daemons=", ".join(missing))
        endpoint.blocked_until = 0.0

    def report_grants(self, endpoint: str) -> dict[str, Any]:
        """Returns the daemons that hold credits issued here for an endpoint, and the uptime in seconds."""
        now = self.ledger.clock()
        grants = self.ledger.grants.values()
        holders = {item.daemon for item in grants if item.endpoint == endpoint and item.expires_at > now}
        return {"holders": sorted(holders), "uptime_s": now - self.started_at}

    async def _filter_possible_holders(self, unreachable: list[str], *, endpoint: str) -> list[str]:
        """Returns the unreachable daemons that may hold a credit.

        A daemon that is partitioned from this one may be the former home of the endpoint or in contact with
        it, so being unreachable doesn't show that it holds no credit. A daemon in another zone received its
        credits from a home in this zone, and each home knows which credits it issued.
        """
        if not unreachable or any(name in self.own_zone for name in unreachable):
            return unreachable
        answers = await asyncio.gather(
            *(self._fetch_grants(name, endpoint=endpoint) for name in self.own_zone)
        )
        known = [answer for answer in (*answers, self.report_grants(endpoint)) if answer is not None]
        if len(known) <= len(self.own_zone) or any(answer["uptime_s"] < MAX_BLOCK_S for answer in known):
            return unreachable
        return [name for name in unreachable if any(name in answer["holders"] for answer in known)]

    async def _fetch_grants(self, name: str, *, endpoint: str) -> dict[str, Any] | None:
        try:
            data = await self.peers.client(name).exchange(
                topic=GRANTS_TOPIC, data=to_json(endpoint), timeout_s=CALL_TIMEOUT_S
            )
        except PeerUnreachableError:
            return None
        answer: dict[str, Any] = from_json(data)
        return answer

    async def _fetch_held_credits(self, name: str, *, endpoint: str) -> list[Credit] | None:
        try:
            return await self.peers.client(name).held_credits(endpoint=endpoint, timeout_s=CALL_TIMEOUT_S)
        except PeerUnreachableError:
            return None


__all__ = ["GRANTS_TOPIC", "MAX_BLOCK_S", "HeldCreditCollector"]
