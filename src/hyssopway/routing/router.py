"""Acquires slots on endpoints for requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from .service_queue import ServiceQueue
from .service_summary import ServiceSummary

if TYPE_CHECKING:
    from expression import Result

    from hyssopway.clock import Clock
    from hyssopway.endpoint import EndpointHealth
    from hyssopway.peer import Credit
    from hyssopway.result import Failure

    from .held_credit import HeldCredit
    from .home_directory import HomeDirectory

REFRESH_INTERVAL_S = 0.1
# An endpoint learns from the closed connection that a request was abandoned. Its slot is reused only after
# this delay.
ABANDONED_RELEASE_DELAY_S = 0.05
HEALTH_RETENTION_S = 60.0


class Router:
    """Assigns slot credits held by this daemon to requests.

    Attributes:
        homes: Directory of the homes of endpoints.
        health: Health of endpoints, from the outcomes of requests sent by this daemon.
        queues: Queues of credits and waiting requests, by environment and service.
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
        """Waits for a slot until `deadline` (local time in seconds); fails at once if none is expected by then."""
        queue = self._queue((environment, service))
        return await queue.acquire(deadline=deadline, queue_limit=queue_limit, avoided=avoided)

    def release(self, held: HeldCredit, *, abandoned: bool = False) -> None:
        """Releases a credit after its request has ended.

        Args:
            held: Credit to release.
            abandoned: Whether the endpoint may still be processing the request.
        """
        queue = self._queue((held.credit.environment, held.credit.service))
        if abandoned:
            asyncio.get_running_loop().call_later(ABANDONED_RELEASE_DELAY_S, queue.release, held)
        else:
            queue.release(held)

    def reassign_home(self, *, endpoint: str, home: str) -> list[Credit]:
        """Records the new home of an endpoint and returns the credits held for the endpoint."""
        if home != self.homes.own_name:
            self.homes.ledger.registry.remove(name=endpoint, reason=f"moved to {home}")
        found = [
            held
            for queue in self.queues.values()
            for held in queue.reassign_home(endpoint=endpoint, home=home)
        ]
        return [held.credit for held in found]

    def count_credits_on(self, vm: str) -> int:
        """Returns the number of credits on endpoints of a VM that are in use or unexpired."""
        now = self.clock()
        return sum(
            held.credit.vm == vm
            for queue in self.queues.values()
            for held in (*queue.in_use, *(idle for idle in queue.idle if idle.expires_at > now))
        )

    def summarise(self) -> list[ServiceSummary]:
        """Returns summaries of the services whose endpoints are announced here."""
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
        """Renews and returns credits periodically, until cancelled."""
        while True:
            await asyncio.gather(*(queue.refresh_credits() for queue in self.queues.values()))
            self.health.remove_idle(idle_s=HEALTH_RETENTION_S)
            await asyncio.sleep(REFRESH_INTERVAL_S)

    def close(self) -> None:
        """Cancels the refill tasks."""
        for queue in self.queues.values():
            if queue.refill_task is not None:
                queue.refill_task.cancel()

    def _queue(self, service: tuple[str, str]) -> ServiceQueue:
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = ServiceQueue(
                service=service, homes=self.homes, health=self.health, clock=self.clock
            )
        return queue

    def _summary(self, service: tuple[str, str]) -> ServiceSummary:
        ledger = self.homes.ledger
        endpoints = ledger.registry.available_endpoints(environment=service[0], service=service[1])
        queue = self.queues.get(service)
        return ServiceSummary(
            environment=service[0],
            service=service[1],
            slots=sum(endpoint.announcement.slots for endpoint in endpoints),
            free=sum(ledger.free(endpoint) for endpoint in endpoints),
            waiting=len(queue.waiting) if queue else 0,
            service_s=queue.throughput.service_s if queue else 0.0,
        )


__all__ = ["Router"]
