"""Slot credits handed out for the endpoints whose home is this daemon."""

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
# Holders count the lease from when they sent the request, the home from when it answers.
# The margin covers clock rates that differ a little.
CLOCK_DRIFT_MARGIN_S = 0.1
# A new endpoint gets a quarter of its slots at first and all of them after this time.
SLOW_START_S = 2.0
SLOW_START_PART = 0.25
# The remainder of an uneven division moves between the daemons with their queues; recalling for it
# would leave slots unused on the way.
TOLERATED = 1
# Holders report their queue at least every 0.5 s; an older report says nothing.
WAITING_VALID_S = 1.0


class CreditLedger:
    """Hands out at most as many credits as an endpoint has slots.

    Attributes:
        registry: Endpoints whose home is this daemon.
        grants: Credits handed out by id.
        entries: Number of entry daemons, which share the connections of each endpoint.
        next_id: Id of the next credit; random at first, because a new home keeps ids of an earlier one.
        used: Credits out by endpoint.
        held: Credits out by endpoint and daemon.
        waiting: Queue and time of the last report by service and daemon.
    """

    __slots__ = ("clock", "entries", "grants", "held", "next_id", "registry", "rng", "used", "waiting")

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
        self.used: Counter[str] = Counter()
        self.held: Counter[tuple[str, str]] = Counter()
        self.waiting: dict[tuple[str, str], dict[str, tuple[int, float]]] = {}

    def handle_request(self, request: CreditRequest) -> CreditReply:
        """Takes back, renews and hands out credits."""
        now = self.clock()
        service = (request.environment, request.service)
        reports = self.waiting.setdefault(service, {})
        reports[request.daemon] = (max(request.waiting, request.wanted), now)
        for credit_id in request.returned:
            self._drop(credit_id)
        self.expire()
        renewed = [credit_id for credit_id in request.renewed if self._renew(credit_id, now=now)]
        endpoints = self.registry.serving(environment=request.environment, service=request.service)
        allowed = self._allowed(service, daemon=request.daemon, endpoints=endpoints, now=now)
        recalled = self._recall(renewed, endpoints=endpoints, allowed=allowed, avoided=request.avoided)
        credits_out = self._hand_out(request, endpoints=endpoints, allowed=allowed, now=now)
        waiting = sum(count for count, at in reports.values() if now - at < WAITING_VALID_S)
        return CreditReply(
            credits=tuple(credits_out), renewed=tuple(renewed), recalled=tuple(recalled), waiting=waiting
        )

    def adopt(self, credits_held: Iterable[Credit], *, daemon: str) -> None:
        """Counts credits that an earlier home handed out."""
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
        """Forgets credits whose lease ended."""
        now = self.clock()
        for credit_id in [key for key, grant in self.grants.items() if grant.expires_at < now]:
            self._drop(credit_id)

    def free(self, endpoint: Endpoint) -> int:
        """Returns the number of credits that may still be handed out for an endpoint."""
        now = self.clock()
        if endpoint.blocked_until > now:
            return 0
        return max(0, _usable_slots(endpoint, now=now) - self.used[endpoint.name])

    def _add(self, credit_id: int, grant: Grant) -> None:
        self.grants[credit_id] = grant
        self.used[grant.endpoint] += 1
        self.held[grant.endpoint, grant.daemon] += 1

    def _drop(self, credit_id: int) -> None:
        grant = self.grants.pop(credit_id, None)
        if grant is None:
            return
        self.used[grant.endpoint] -= 1
        self.held[grant.endpoint, grant.daemon] -= 1
        if not self.used[grant.endpoint]:
            del self.used[grant.endpoint]
        if not self.held[grant.endpoint, grant.daemon]:
            del self.held[grant.endpoint, grant.daemon]

    def _renew(self, credit_id: int, *, now: float) -> bool:
        grant = self.grants.get(credit_id)
        if grant is None:
            return False
        endpoint = self.registry.endpoints.get(grant.endpoint)
        if endpoint is not None and endpoint.announcement.address != grant.address:
            return False
        grant.expires_at = now + CREDIT_LEASE_S + CLOCK_DRIFT_MARGIN_S
        return True

    def _allowed(
        self, service: tuple[str, str], *, daemon: str, endpoints: list[Endpoint], now: float
    ) -> int | None:
        """Returns the credits that a daemon may hold; None while nobody else waits."""
        waiting = {
            name: count
            for name, (count, at) in self.waiting[service].items()
            if count and now - at < WAITING_VALID_S
        }
        if not waiting.keys() - {daemon}:
            return None
        held = Counter(
            {
                name: sum(self.held[endpoint.name, name] for endpoint in endpoints)
                for name in self.waiting[service]
            }
        )
        slots = sum(_usable_slots(endpoint, now=now) for endpoint in endpoints)
        demands = {name: held[name] + waiting.get(name, 0) for name in self.waiting[service]}
        return fair_shares(demands=demands, slots=slots)[daemon]

    def _recall(
        self, renewed: list[int], *, endpoints: list[Endpoint], allowed: int | None, avoided: tuple[str, ...]
    ) -> list[int]:
        serving = {endpoint.name for endpoint in endpoints} - set(avoided)
        if allowed is not None and len(renewed) <= allowed + TOLERATED:
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

    def _hand_out(
        self, request: CreditRequest, *, endpoints: list[Endpoint], allowed: int | None, now: float
    ) -> list[Credit]:
        free = {endpoint.name: self.free(endpoint) for endpoint in endpoints}
        wanted = request.wanted
        if allowed is not None:
            holds = sum(self.held[endpoint.name, request.daemon] for endpoint in endpoints)
            wanted = min(wanted, max(0, allowed - holds))
        credits_out: list[Credit] = []
        while len(credits_out) < wanted:
            candidates = [
                endpoint
                for endpoint in endpoints
                if free[endpoint.name] > 0
                and endpoint.name not in request.avoided
                and self.held[endpoint.name, request.daemon] < self._connections(endpoint)
            ]
            if not candidates:
                break
            endpoint = self._choose(candidates)
            free[endpoint.name] -= 1
            credits_out.append(self._grant(endpoint, request=request, now=now))
        return credits_out

    def _connections(self, endpoint: Endpoint) -> int:
        return max(1, endpoint.announcement.connections // self.entries)

    def _choose(self, candidates: list[Endpoint]) -> Endpoint:
        """Returns the less used of two random endpoints."""
        pair = self.rng.sample(candidates, k=min(2, len(candidates)))
        return min(pair, key=lambda endpoint: self.used[endpoint.name] / endpoint.announcement.slots)

    def _grant(self, endpoint: Endpoint, *, request: CreditRequest, now: float) -> Credit:
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
    part = SLOW_START_PART + (1 - SLOW_START_PART) * (now - endpoint.announced_at) / SLOW_START_S
    return max(1, min(slots, math.ceil(slots * part)))


__all__ = ["CLOCK_DRIFT_MARGIN_S", "CREDIT_LEASE_S", "CreditLedger"]
