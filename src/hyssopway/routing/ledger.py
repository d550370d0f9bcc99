"""Slot credits handed out for the endpoints whose home is this daemon."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hyssopway.peer import Credit, CreditReply, CreditRequest

if TYPE_CHECKING:
    from hyssopway.clock import Clock
    from hyssopway.endpoint import Endpoint, EndpointRegistry

CREDIT_LEASE_S = 2.0
# Holders count the lease from when they sent the request, the home from when it answers.
# The margin covers clock rates that differ a little.
HOME_MARGIN_S = 0.1


@dataclass(slots=True, kw_only=True)
class Grant:
    """A credit at its home.

    Attributes:
        endpoint: Endpoint.
        daemon: Daemon that holds the credit.
        expires_at: Local time at which it surely is no longer used.
        vm: VM of the endpoint; kept here because a departing endpoint leaves the registry first.
    """

    endpoint: str
    daemon: str
    expires_at: float
    vm: str = ""


class CreditLedger:
    """Hands out at most as many credits as an endpoint has slots.

    Attributes:
        registry: Endpoints whose home is this daemon.
        grants: Credits handed out by id.
        next_id: Id of the next credit.
    """

    __slots__ = ("clock", "grants", "next_id", "registry")

    def __init__(self, *, registry: EndpointRegistry, clock: Clock) -> None:
        self.registry = registry
        self.clock = clock
        self.grants: dict[int, Grant] = {}
        self.next_id = 1

    def answer(self, request: CreditRequest) -> CreditReply:
        """Takes back, renews and hands out credits."""
        now = self.clock()
        for credit_id in request.returned:
            self.grants.pop(credit_id, None)
        renewed = tuple(credit_id for credit_id in request.renewed if self._renew(credit_id, now=now))
        self._expire(now=now)
        return CreditReply(credits=tuple(self._hand_out(request, now=now)), renewed=renewed)

    def used(self, endpoint: str) -> int:
        """Returns the number of credits of an endpoint that are out."""
        return sum(grant.endpoint == endpoint for grant in self.grants.values())

    def _renew(self, credit_id: int, *, now: float) -> bool:
        grant = self.grants.get(credit_id)
        if grant is None or grant.expires_at < now:
            return False
        grant.expires_at = now + CREDIT_LEASE_S + HOME_MARGIN_S
        return True

    def _expire(self, *, now: float) -> None:
        for credit_id in [key for key, grant in self.grants.items() if grant.expires_at < now]:
            del self.grants[credit_id]

    def _hand_out(self, request: CreditRequest, *, now: float) -> list[Credit]:
        credits_out: list[Credit] = []
        endpoints = self.registry.serving(environment=request.environment, service=request.service)
        used = {endpoint.name: self.used(endpoint.name) for endpoint in endpoints}
        while len(credits_out) < request.wanted:
            free = [e for e in endpoints if used[e.name] < e.announcement.slots]
            if not free:
                break
            endpoint = min(free, key=lambda e: used[e.name] / e.announcement.slots)
            used[endpoint.name] += 1
            credits_out.append(self._grant(endpoint, daemon=request.daemon, now=now))
        return credits_out

    def _grant(self, endpoint: Endpoint, *, daemon: str, now: float) -> Credit:
        credit_id = self.next_id
        self.next_id += 1
        self.grants[credit_id] = Grant(
            endpoint=endpoint.name,
            daemon=daemon,
            expires_at=now + CREDIT_LEASE_S + HOME_MARGIN_S,
            vm=endpoint.announcement.vm,
        )
        return Credit(
            endpoint=endpoint.name,
            address=endpoint.announcement.address,
            service=endpoint.announcement.service,
            environment=endpoint.announcement.environment,
            credit_id=credit_id,
            lease_s=CREDIT_LEASE_S,
        )


__all__ = ["CREDIT_LEASE_S", "CreditLedger"]
