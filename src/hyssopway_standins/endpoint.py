"""An endpoint: serves requests of one service and announces itself."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web

RENEW_S = 0.5
# A caller of a test names the time that its request takes.
SECONDS_HEADER = "Stand-In-Seconds"


@dataclass(slots=True, kw_only=True)
class EndpointStandIn:
    """One endpoint and what it saw.

    Attributes:
        name: Name.
        service: Service.
        entries: Base URLs of the entry VMs of its zone; the first that answers is its home.
        fleet_token: Secret for announcements.
        vm: VM that it runs on.
        environment: Environment.
        slots: Requests that it announces to handle at a time.
        connections: Connections that it announces to accept.
        service_s: Time that a request takes.
        request_counts: Requests by idempotency key.
        received: Requests received.
        completed: Requests answered in whole.
        in_progress: Requests in progress.
        peak_in_progress: Most requests in progress at once.
        aborted: Requests whose connection broke before their answer.
        received_at: Local time of the last request received.
        left: Whether it left on the order of its VM.
        leaving: Tells the entries that it left.
    """

    name: str
    service: str
    entries: Sequence[str]
    fleet_token: str
    vm: str = ""
    environment: str = "production"
    slots: int = 8
    connections: int = 64
    service_s: float = 0.01
    request_counts: Counter[str] = field(default_factory=Counter)
    received: int = 0
    completed: int = 0
    in_progress: int = 0
    peak_in_progress: int = 0
    aborted: int = 0
    received_at: float = 0.0
    address: str = ""
    runner: web.AppRunner | None = None
    task: asyncio.Task[None] | None = None
    left: bool = False
    leaving: asyncio.Task[None] | None = None

    async def start(self, *, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listens and begins to announce itself."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_route("*", "/{path:.*}", self.handle)
        self.runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await self.runner.setup()
        await web.TCPSite(self.runner, host, port).start()
        bound_host, bound_port = self.runner.addresses[0][:2]
        self.address = f"http://{bound_host}:{bound_port}"
        self.task = asyncio.create_task(self.announce_until_cancelled())

    async def stop(self, *, leave: bool = True) -> None:
        """Stops; with `leave` it says so and finishes what it serves."""
        for task in (self.task, self.leaving):
            if task is not None:
                task.cancel()
        if leave:
            await self.leave()
            while self.in_progress:  # noqa: ASYNC110  ends with the last request
                await asyncio.sleep(0.01)
        if self.runner is not None:
            await self.runner.cleanup()

    async def leave(self) -> None:
        """Stops to announce itself and tells the entries; goes on to serve."""
        if self.task is not None:
            self.task.cancel()
        timeout = aiohttp.ClientTimeout(total=1.0)  # an entry may be frozen
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for entry in self.entries:
                await self._leave(session, entry)

    def follow(self, *, leave: bool) -> None:
        """Leaves or comes back on the order of its VM; a stopped endpoint does neither."""
        if leave == self.left or self.runner is None:
            return
        self.left = leave
        if leave:
            self.leaving = asyncio.create_task(self.leave())
        else:
            self.task = asyncio.create_task(self.announce_until_cancelled())

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answers with the request's body and the endpoint's name."""
        self.received += 1
        self.received_at = time.monotonic()
        self.in_progress += 1
        self.peak_in_progress = max(self.peak_in_progress, self.in_progress)
        try:
            body = await request.read()
            self.request_counts[request.headers.get("Idempotency-Key", "")] += 1
            await asyncio.sleep(float(request.headers.get(SECONDS_HEADER, self.service_s)))
            self.completed += 1
            request_id = request.headers.get("Hyssopway-Request-Id", "")
            headers = {"Served-By": self.name, "Hyssopway-Request-Id": request_id}
            return web.Response(body=body, headers=headers)
        except asyncio.CancelledError:
            self.aborted += 1
            raise
        finally:
            self.in_progress -= 1

    async def announce_until_cancelled(self) -> None:
        """Renews the lease; moves to the next entry when one does not answer."""
        position = 0
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                entry = self.entries[position % len(self.entries)]
                if not await self._announce(session, entry):
                    position += 1
                await asyncio.sleep(RENEW_S)

    async def _announce(self, session: aiohttp.ClientSession, entry: str) -> bool:
        body = {
            "service": self.service,
            "address": self.address,
            "environment": self.environment,
            "vm": self.vm,
            "slots": self.slots,
            "connections": self.connections,
        }
        try:
            url = f"{entry}/v1/endpoints/{self.name}"
            async with session.put(url, json=body, headers=self._headers()) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def _leave(self, session: aiohttp.ClientSession, entry: str) -> None:
        try:
            async with session.delete(f"{entry}/v1/endpoints/{self.name}", headers=self._headers()):
                return
        except (aiohttp.ClientError, TimeoutError):
            return

    def _headers(self) -> dict[str, str]:
        return {"Authorization": f"Bearer {self.fleet_token}"}


__all__ = ["SECONDS_HEADER", "EndpointStandIn"]
