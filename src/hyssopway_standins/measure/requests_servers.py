"""Helper processes for the measurement of requests: endpoints, a baseline proxy and clients."""

from __future__ import annotations

import asyncio
import itertools
import multiprocessing
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import web

from hyssopway_standins.endpoint import EndpointStandIn

if TYPE_CHECKING:
    from collections.abc import Callable
    from multiprocessing.connection import Connection

SPAWN = multiprocessing.get_context("spawn")
LONGEST_S = 170.0


@dataclass(slots=True, kw_only=True)
class SlotEndpoint(EndpointStandIn):
    """An endpoint that enforces its slots: further requests wait for a free slot.

    Attributes:
        gate: Semaphore of the slots.
    """

    gate: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(8))

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Handles the request when a slot is free."""
        async with self.gate:
            return await EndpointStandIn.handle(self, request)


class HelperProcess:
    """A process that reports one value and runs until `stop` or for at most `LONGEST_S`.

    Attributes:
        process: Helper process.
        pipe: Connection to the process.
    """

    def __init__(self, target: Callable[..., None], *arguments: object) -> None:
        self.pipe, other = SPAWN.Pipe()
        self.process = SPAWN.Process(target=target, args=(other, *arguments), daemon=True)
        self.process.start()

    def receive(self) -> Any:
        """Returns the value that the process reports.

        Raises:
            TimeoutError: The process reported nothing in time.
        """
        if not self.pipe.poll(LONGEST_S):
            raise TimeoutError("helper process reported no value in time")
        return self.pipe.recv()

    def stop(self) -> None:
        """Terminates the process."""
        self.pipe.close()
        self.process.terminate()
        self.process.join(5)


def serve_endpoints(pipe: Connection, options: list[dict[str, Any]]) -> None:
    """Runs endpoints and reports their addresses."""

    async def run() -> None:
        endpoints = [SlotEndpoint(**item) for item in options]
        for endpoint in endpoints:
            await endpoint.start()
        pipe.send([endpoint.address for endpoint in endpoints])
        await asyncio.sleep(LONGEST_S)

    asyncio.run(run())


def serve_plain_proxy(pipe: Connection, addresses: list[str]) -> None:
    """Runs a baseline proxy: round robin without credits, limits or checks."""

    async def run() -> None:
        turn = itertools.cycle(addresses)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:

            async def handle(request: web.Request) -> web.Response:
                body = await request.read()
                url = f"{next(turn)}/{request.match_info['path']}"
                async with session.request(request.method, url, data=body) as answer:
                    return web.Response(status=answer.status, body=await answer.read())

            app = web.Application()
            app.router.add_route("*", "/call/pickup-schedule/{path:.*}", handle)
            runner = web.AppRunner(app, access_log=None)
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            pipe.send(f"http://127.0.0.1:{runner.addresses[0][1]}")
            await asyncio.sleep(LONGEST_S)

    asyncio.run(run())


def run_client(pipe: Connection, url: str, at_once: int, seconds: float) -> None:
    """Sends requests one after another on several connections and reports responses a second."""

    async def run() -> None:
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            end = time.monotonic() + seconds
            counts = await asyncio.gather(*(_send_until(session, url, end) for _ in range(at_once)))
        pipe.send(sum(counts) / seconds)

    asyncio.run(run())


async def _send_until(session: aiohttp.ClientSession, url: str, end: float) -> int:
    count = 0
    while time.monotonic() < end:
        async with session.post(url, data=b"x" * 100) as answer:
            await answer.read()
            count += answer.status == 200
    return count


__all__ = ["HelperProcess", "SlotEndpoint", "run_client", "serve_endpoints", "serve_plain_proxy"]
