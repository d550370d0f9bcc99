"""Counts the requests in progress on the endpoints of a VM."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from pydantic_core import from_json, to_json

from hyssopway.peer import PeerUnreachableError
from hyssopway.routing.ledger import CREDIT_LEASE_S

if TYPE_CHECKING:
    from hyssopway.endpoint import EndpointRegistry
    from hyssopway.peer import PeerDirectory
    from hyssopway.replica import Replica
    from hyssopway.routing import CreditLedger, Router

VM_REQUESTS_TOPIC = "vm_requests"
CALL_TIMEOUT_S = 1.0


class VmRequests:
    """Asks all entries, because any of them may send to an endpoint of the VM.

    Attributes:
        registry: Endpoints whose home is this daemon.
        ledger: Their credits.
        router: Requests in progress from this daemon.
        peers: Clients of the other daemons.
        replica: Agreed state, for the deadlines of services.
        silent_since: Local time since which an entry has not answered.
    """

    __slots__ = ("ledger", "peers", "registry", "replica", "router", "silent_since")

    def __init__(
        self,
        *,
        registry: EndpointRegistry,
        ledger: CreditLedger,
        router: Router,
        peers: PeerDirectory,
        replica: Replica,
    ) -> None:
        self.registry = registry
        self.ledger = ledger
        self.router = router
        self.peers = peers
        self.replica = replica
        self.silent_since: dict[str, float] = {}

    async def count(self, vm: str) -> int | None:
        """Returns the number of requests in progress; None while an entry may have some and does not answer.

        An entry that stays silent cannot renew its credits. What it sent before has reached its deadline
        after the longest timeout of a service; without this bound one dead entry would block all drains.
        """
        answers = await asyncio.gather(*(self._ask(name, vm=vm) for name in self.peers.clients))
        answers.append(self.own(vm))
        known = [answer for answer in answers if answer is not None]
        now = self.ledger.clock()
        if any(now - since < self._longest_request_s() for since in self.silent_since.values()):
            return None
        endpoints = {name for answer in known for name in answer["endpoints"]}
        in_use = sum(int(answer["in_use"].get(name, 0)) for answer in known for name in endpoints)
        return in_use + sum(int(answer["granted"]) for answer in known)

    def own(self, vm: str) -> dict[str, Any]:
        """Returns what this daemon knows of the VM's endpoints."""
        grants = [grant for grant in self.ledger.grants.values() if grant.vm == vm]
        now = self.ledger.clock()
        endpoints = self.registry.endpoints.values()
        names = {endpoint.name for endpoint in endpoints if endpoint.announcement.vm == vm}
        return {
            "endpoints": sorted(names | {grant.endpoint for grant in grants}),
            "granted": sum(grant.expires_at > now for grant in grants),
            "in_use": dict(self.router.in_use()),
        }

    def _longest_request_s(self) -> float:
        document = self.replica.state.document()
        timeouts = [service.timeout_s for service in document.services] if document else []
        return max(timeouts, default=0.0) + CREDIT_LEASE_S

    async def _ask(self, name: str, *, vm: str) -> dict[str, Any] | None:
        try:
            data = await self.peers.client(name).exchange(
                topic=VM_REQUESTS_TOPIC, data=to_json(vm), timeout_s=CALL_TIMEOUT_S
            )
        except PeerUnreachableError:
            self.silent_since.setdefault(name, self.ledger.clock())
            return None
        self.silent_since.pop(name, None)
        answer: dict[str, Any] = from_json(data)
        return answer


__all__ = ["VM_REQUESTS_TOPIC", "VmRequests"]
