"""Finds a slot on an endpoint for a request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from .service_queue import ServiceQueue
from .summary import Summary

if TYPE_CHECKING:
    from expression import Result

    from hyssopway.clock import Clock
    from hyssopway.endpoint import EndpointHealth
    from hyssopway.peer import Credit
    from hyssopway.result import Failure

    from .held_credit import HeldCredit
    from .home_directory import HomeDirectory

MAINTAIN_S = 0.1
# The endpoint learns from the closed connection that a request was given up; its slot is used again only
# after this time.
SETTLE_S = 0.05
FORGET_HEALTH_S = 60.0


class Router:
    """Slot credits held by this daemon.

    Attributes:
        homes: Homes of endpoints.
        health: Outcomes of requests sent from here.
        queues: Credits and waiting requests by environment and service.
    """

    __slots__ = ("clock", "health", "homes", "queues")

    def __init__(self, *, homes: HomeDirectory, health: EndpointHealth, clock: Clock) -> None:
        self.homes = homes
        self.health = health
        self.clock = clock
        self.queues: dict[tuple[str, str], ServiceQueue] = {}
        homes.summarise = self.summarise

    async def acquire(
        self,
        *,
        environment: str,
        service: str,
        deadline: float,
        queue_limit: int = 1000,
        avoided: frozenset[str] = frozenset(),
    ) -> Result[HeldCredit, Failure]:
        """Waits for a slot until a local time; refuses at once what cannot be done by then."""
        queue = self._queue((environment, service))
        return await queue.acquire(deadline=deadline, queue_limit=queue_limit, avoided=avoided)

    def release(self, held: HeldCredit, *, given_up: bool = False) -> None:
        """Takes a credit back once its request has ended.

        Args:
            held: The credit.
            given_up: Whether the endpoint may still be at work on the request.
        """
        queue = self._queue((held.credit.environment, held.credit.service))
        if given_up:
            asyncio.get_running_loop().call_later(SETTLE_S, queue.release, held)
        else:
            queue.release(held)

    def reassign_home(self, *, endpoint: str, home: str) -> list[Credit]:
        """Returns the credits held for an endpoint that announced itself to a new home."""
        if home != self.homes.own_name:
            self.homes.ledger.registry.leave(name=endpoint, reason=f"moved to {home}")
        found = [
            held
            for queue in self.queues.values()
            for held in queue.reassign_home(endpoint=endpoint, home=home)
        ]
        return [held.credit for held in found]

    def count_credits_on(self, vm: str) -> int:
        """Returns the credits that have or may get a request from here on endpoints of a VM."""
        now = self.clock()
        return sum(
            held.credit.vm == vm
            for queue in self.queues.values()
            for held in (*queue.in_use, *(idle for idle in queue.idle if idle.expires_at > now))
        )

    def summarise(self) -> list[Summary]:
        """Returns what other daemons need to know of the endpoints announced here."""
        registry = self.homes.ledger.registry
        services = {
            (endpoint.announcement.environment, endpoint.announcement.service)
            for endpoint in registry.endpoints.values()
        }
        return [self._summary(service) for service in services]

    def dump(self) -> dict[str, Any]:
        """Returns the state of all queues by environment and service."""
        return {"/".join(service): queue.dump() for service, queue in self.queues.items()}

    async def run(self) -> None:
        """Renews and returns credits again and again."""
        while True:
            await asyncio.gather(*(queue.maintain() for queue in self.queues.values()))
            self.health.forget(unseen_s=FORGET_HEALTH_S)
            await asyncio.sleep(MAINTAIN_S)

    def close(self) -> None:
        """Ends the refill tasks."""
        for queue in self.queues.values():
            if queue.refilling is not None:
                queue.refilling.cancel()

    def _queue(self, service: tuple[str, str]) -> ServiceQueue:
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = ServiceQueue(
                service=service, homes=self.homes, health=self.health, clock=self.clock
            )
        return queue

    def _summary(self, service: tuple[str, str]) -> Summary:
        ledger = self.homes.ledger
        endpoints = ledger.registry.serving(environment=service[0], service=service[1])
        queue = self.queues.get(service)
        return Summary(
            environment=service[0],
            service=service[1],
            slots=sum(endpoint.announcement.slots for endpoint in endpoints),
            free=sum(ledger.free(endpoint) for endpoint in endpoints),
            waiting=len(queue.waiting) if queue else 0,
            service_s=queue.drain.service_s if queue else 0.0,
        )


__all__ = ["Router"]
