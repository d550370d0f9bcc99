"""Stand-in for an endpoint: serves requests of one service and renews its registration."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web

RENEW_S = 0.5
# Header by which a test sets the service time of a request, in seconds.
SECONDS_HEADER = "Stand-In-Seconds"


@dataclass(slots=True, kw_only=True)
class EndpointStandIn:
    """One endpoint, with counts of the requests that it received.

    Attributes:
        name: Name.
        service: Service.
        entries: Base URLs of the entry VMs of its zone; the first one that responds is its home.
        fleet_token: Secret that authenticates registrations.
        vm: VM that it runs on.
        environment: Environment.
        slots: Number of concurrent requests that it registers with.
        connections: Number of connections that it registers with.
        service_s: Default service time of a request.
        request_counts: Number of requests by idempotency key.
        received: Number of requests received.
        completed: Number of requests with a complete response.
        in_progress: Number of requests in progress.
        peak_in_progress: Largest number of concurrent requests.
        aborted: Number of requests whose connection closed before the response.
        received_at: Local time of the last request received.
        has_left: Whether it deregistered on an instruction to its VM.
        leave_task: Deregisters the endpoint at all entry VMs.
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
    has_left: bool = False
    leave_task: asyncio.Task[None] | None = None

    async def start(self, *, host: str = "127.0.0.1", port: int = 0) -> None:
        """Starts the HTTP server and the registration loop."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_route("*", "/{path:.*}", self.handle)
        self.runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await self.runner.setup()
        await web.TCPSite(self.runner, host, port).start()
        bound_host, bound_port = self.runner.addresses[0][:2]
        self.address = f"http://{bound_host}:{bound_port}"
        self.task = asyncio.create_task(self.announce_until_cancelled())

    async def stop(self, *, leave: bool = True) -> None:
        """Stops the endpoint; with `leave` it deregisters first and completes the requests in progress."""
        for task in (self.task, self.leave_task):
            if task is not None:
                task.cancel()
        if leave:
            await self.leave()
            while self.in_progress:  # noqa: ASYNC110  ends with the last request
                await asyncio.sleep(0.01)
        if self.runner is not None:
            await self.runner.cleanup()

    async def leave(self) -> None:
        """Deregisters at all entry VMs but continues to serve requests."""
        if self.task is not None:
            self.task.cancel()
        timeout = aiohttp.ClientTimeout(total=1.0)  # an entry VM may be frozen
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for entry in self.entries:
                await self._leave(session, entry)

    def set_leaving(self, *, leave: bool) -> None:
        """Deregisters or registers again on an instruction to its VM; has no effect on a stopped endpoint."""
        if leave == self.has_left or self.runner is None:
            return
        self.has_left = leave
        if leave:
            self.leave_task = asyncio.create_task(self.leave())
        else:
            self.task = asyncio.create_task(self.announce_until_cancelled())

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Echoes the body of the request and adds the name of the endpoint as a header."""
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
        """Renews the registration and moves to the next entry VM when one does not respond."""
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
