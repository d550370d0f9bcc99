"""Issues slot credits for the endpoints whose home is this daemon."""

from __future__ import annotations

import math
import random
import secrets
from collections import Counter
from typing import TYPE_CHECKING

from hyssopway.peer import Credit, CreditReply, CreditRequest

from .fairness import fair_shares
from .grant import Grant

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hyssopway.clock import Clock
    from hyssopway.endpoint import Endpoint, EndpointRegistry

CREDIT_LEASE_S = 2.0
# The holder's lease starts when it sends the request, the home's when it handles it. The margin covers small
# differences in clock rate.
CLOCK_DRIFT_MARGIN_S = 0.1
# A new endpoint starts with a quarter of its slots, which grows linearly to all of them in this time.
SLOW_START_S = 2.0
SLOW_START_FRACTION = 0.25
# The remainder of an uneven division changes with the queue lengths of the daemons. Recalling credits because
# of it would leave their slots unused while the credits are in transit.
RECALL_TOLERANCE = 1
# Holders report their queue length at least every 0.5 s; an older report is stale.
DEMAND_REPORT_MAX_AGE_S = 1.0


class CreditLedger:
    """Issues at most as many credits for an endpoint as it has slots.

    Attributes:
        registry: Endpoints whose home is this daemon.
        grants: Issued credits by ID.
        entries: Number of entry daemons, between which the connections of each endpoint are divided.
        next_id: ID of the next credit; starts at random, because a new home keeps the IDs of the former one.
        issued: Number of issued credits by endpoint.
        issued_to: Number of issued credits by endpoint and holder.
        demand_reports: Demand and local time of the last report, by service and daemon.
    """

    __slots__ = (
        "clock",
        "demand_reports",
        "entries",
        "grants",
        "issued",
        "issued_to",
        "next_id",
        "registry",
        "rng",
    )

    def __init__(
        self,
        *,
        registry: EndpointRegistry,
        clock: Clock,
        entries: int = 1,
        rng: random.Random | None = None,
    ) -> None:
        self.registry = registry
        self.clock = clock
        self.entries = entries
        self.rng = rng or random.Random()
        self.grants: dict[int, Grant] = {}
        self.next_id = (secrets.randbits(31) << 32) + 1
        self.issued: Counter[str] = Counter()
        self.issued_to: Counter[tuple[str, str]] = Counter()
        self.demand_reports: dict[tuple[str, str], dict[str, tuple[int, float]]] = {}

    def handle_request(self, request: CreditRequest) -> CreditReply:
        """Takes back returned credits, renews credits and issues new ones."""
        now = self.clock()
        service = (request.environment, request.service)
        reports = self.demand_reports.setdefault(service, {})
        reports[request.daemon] = (max(request.waiting, request.wanted), now)
        for credit_id in request.returned:
            self._remove(credit_id)
        self.expire()
        renewed = [credit_id for credit_id in request.renewed if self._renew(credit_id, now=now)]
        endpoints = self.registry.available_endpoints(
            environment=request.environment, service=request.service
        )
        allowed = self._allowance(service, daemon=request.daemon, endpoints=endpoints, now=now)
        recalled = self._recall(renewed, endpoints=endpoints, allowed=allowed, avoided=request.avoided)
        issued_credits = self._issue_credits(request, endpoints=endpoints, allowed=allowed, now=now)
        waiting = sum(
            count for count, reported_at in reports.values() if now - reported_at < DEMAND_REPORT_MAX_AGE_S
        )
        return CreditReply(
            credits=tuple(issued_credits), renewed=tuple(renewed), recalled=tuple(recalled), waiting=waiting
        )

    def adopt(self, credits_held: Iterable[Credit], *, daemon: str) -> None:
        """Adds credits that a former home of the endpoint issued."""
        expires_at = self.clock() + CREDIT_LEASE_S + CLOCK_DRIFT_MARGIN_S
        for credit in credits_held:
            if credit.credit_id not in self.grants:
                self._add(
                    credit.credit_id,
                    Grant(
                        endpoint=credit.endpoint,
                        address=credit.address,
                        service=(credit.environment, credit.service),
                        daemon=daemon,
                        expires_at=expires_at,
                        vm=credit.vm,
                    ),
                )

    def expire(self) -> None:
        """Removes credits whose lease has expired."""
        now = self.clock()
        for credit_id in [key for key, grant in self.grants.items() if grant.expires_at < now]:
            self._remove(credit_id)

    def free(self, endpoint: Endpoint) -> int:
        """Returns the number of credits that may still be issued for an endpoint."""
        now = self.clock()
        if endpoint.blocked_until > now:
            return 0
        return max(0, _usable_slots(endpoint, now=now) - self.issued[endpoint.name])

    def _add(self, credit_id: int, grant: Grant) -> None:
        self.grants[credit_id] = grant
        self.issued[grant.endpoint] += 1
        self.issued_to[grant.endpoint, grant.daemon] += 1

    def _remove(self, credit_id: int) -> None:
        grant = self.grants.pop(credit_id, None)
        if grant is None:
            return
        self.issued[grant.endpoint] -= 1
        self.issued_to[grant.endpoint, grant.daemon] -= 1
        if not self.issued[grant.endpoint]:
            del self.issued[grant.endpoint]
        if not self.issued_to[grant.endpoint, grant.daemon]:
            del self.issued_to[grant.endpoint, grant.daemon]

    def _renew(self, credit_id: int, *, now: float) -> bool:
        grant = self.grants.get(credit_id)
        if grant is None:
            return False
        endpoint = self.registry.endpoints.get(grant.endpoint)
        if endpoint is not None and endpoint.announcement.address != grant.address:
            return False
        grant.expires_at = now + CREDIT_LEASE_S + CLOCK_DRIFT_MARGIN_S
        return True

    def _allowance(
        self, service: tuple[str, str], *, daemon: str, endpoints: list[Endpoint], now: float
    ) -> int | None:
        """Returns the number of credits that a daemon may hold; None if no other daemon has waiting requests."""
        waiting = {
            name: count
            for name, (count, reported_at) in self.demand_reports[service].items()
            if count and now - reported_at < DEMAND_REPORT_MAX_AGE_S
        }
        if not waiting.keys() - {daemon}:
            return None
        held = Counter(
            {
                name: sum(self.issued_to[endpoint.name, name] for endpoint in endpoints)
                for name in self.demand_reports[service]
            }
        )
        slots = sum(_usable_slots(endpoint, now=now) for endpoint in endpoints)
        demands = {name: held[name] + waiting.get(name, 0) for name in self.demand_reports[service]}
        return fair_shares(demands=demands, slots=slots)[daemon]

    def _recall(
        self, renewed: list[int], *, endpoints: list[Endpoint], allowed: int | None, avoided: tuple[str, ...]
    ) -> list[int]:
        serving = {endpoint.name for endpoint in endpoints} - set(avoided)
        if allowed is not None and len(renewed) <= allowed + RECALL_TOLERANCE:
            allowed = None
        kept = 0
        recalled = []
        for credit_id in renewed:
            grant = self.grants[credit_id]
            if grant.endpoint in serving and (allowed is None or kept < allowed):
                kept += 1
            else:
                recalled.append(credit_id)
        return recalled

    def _issue_credits(
        self, request: CreditRequest, *, endpoints: list[Endpoint], allowed: int | None, now: float
    ) -> list[Credit]:
        free = {endpoint.name: self.free(endpoint) for endpoint in endpoints}
        wanted = request.wanted
        if allowed is not None:
            holds = sum(self.issued_to[endpoint.name, request.daemon] for endpoint in endpoints)
            wanted = min(wanted, max(0, allowed - holds))
        issued_credits: list[Credit] = []
        while len(issued_credits) < wanted:
            candidates = [
                endpoint
                for endpoint in endpoints
                if free[endpoint.name] > 0
                and endpoint.name not in request.avoided
                and self.issued_to[endpoint.name, request.daemon] < self._connection_limit(endpoint)
            ]
            if not candidates:
                break
            endpoint = self._choose(candidates)
            free[endpoint.name] -= 1
            issued_credits.append(self._issue_credit(endpoint, request=request, now=now))
        return issued_credits

    def _connection_limit(self, endpoint: Endpoint) -> int:
        return max(1, endpoint.announcement.connections // self.entries)

    def _choose(self, candidates: list[Endpoint]) -> Endpoint:
        """Returns the less loaded of two random endpoints."""
        pair = self.rng.sample(candidates, k=min(2, len(candidates)))
        return min(pair, key=lambda endpoint: self.issued[endpoint.name] / endpoint.announcement.slots)

    def _issue_credit(self, endpoint: Endpoint, *, request: CreditRequest, now: float) -> Credit:
        credit_id = self.next_id
        self.next_id += 1
        address = endpoint.announcement.address
        self._add(
            credit_id,
            Grant(
                endpoint=endpoint.name,
                address=address,
                service=(request.environment, request.service),
                daemon=request.daemon,
                expires_at=now + CREDIT_LEASE_S + CLOCK_DRIFT_MARGIN_S,
                vm=endpoint.announcement.vm,
            ),
        )
        return Credit(
            endpoint=endpoint.name,
            address=address,
            service=request.service,
            environment=request.environment,
            credit_id=credit_id,
            lease_s=CREDIT_LEASE_S,
            vm=endpoint.announcement.vm,
        )


def _usable_slots(endpoint: Endpoint, *, now: float) -> int:
    slots = endpoint.announcement.slots
    fraction = SLOW_START_FRACTION + (1 - SLOW_START_FRACTION) * (now - endpoint.announced_at) / SLOW_START_S
    return max(1, min(slots, math.ceil(slots * fraction)))


__all__ = ["CLOCK_DRIFT_MARGIN_S", "CREDIT_LEASE_S", "CreditLedger"]
