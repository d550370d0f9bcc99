"""Fixtures for a gateway on loopback with a fake submitter and fake endpoints."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import aiohttp
import pytest
from aiohttp import web
from expression import Error, Ok

from hyssopway.clock import monotonic_s
from hyssopway.control import ControlState, Envelope, encode_envelope
from hyssopway.document import QueueAccess, Service
from hyssopway.endpoint import Announcement, EndpointHealth, EndpointRegistry
from hyssopway.gateway import Gateway
from hyssopway.gateway.claims import ClaimManager
from hyssopway.gateway.forwarder import Forwarder
from hyssopway.gateway.sessions import open_session
from hyssopway.http import HttpListener, error_middleware
from hyssopway.metrics import Metrics
from hyssopway.replica import Freshness
from hyssopway.result import Failure, ResultCode, WorkState
from hyssopway.routing import CreditLedger, HomeDirectory, Router

if TYPE_CHECKING:
    from hyssopway.control.command import ClaimRequest, ReleaseClaim, ResolveClaim

KIB = 1024
UNKNOWN = Failure(code=ResultCode.OUTCOME_UNKNOWN, message="no outcome", work=WorkState.MAY_HAVE_RUN)


@dataclass(slots=True)
class FakeSubmitter:
    """Applies commands to a state at once; outcomes of the kinds in `lost_kinds` are lost."""

    state: ControlState = field(default_factory=ControlState)
    now_ms: int = 1_000_000
    lost_kinds: set[str] = field(default_factory=set)
    index: int = 0
    submit_gate: asyncio.Event | None = None

    @property
    def replica(self) -> Any:
        """Replica that holds the state."""
        return SimpleNamespace(state=self.state)

    async def submit(self, command: ClaimRequest | ResolveClaim | ReleaseClaim, *, timeout_s: float = 5.0):
        """Applies a command, even if its outcome is then lost."""
        await asyncio.sleep(0)
        if self.submit_gate is not None:
            await self.submit_gate.wait()
        self.index += 1
        data = encode_envelope(Envelope(at_ms=self.now_ms, wall_ms=self.now_ms, command=command))
        outcome = self.state.apply(index=self.index, data=data)
        if command.kind in self.lost_kinds:
            return Error(UNKNOWN)
        return Error(outcome.failure) if outcome.failure else Ok(outcome)


@dataclass(slots=True)
class FakeEndpoint:
    """Socket-level endpoint whose `behaviour` is one of the cases of `respond`."""

    behaviour: str
    ran: Counter[str] = field(default_factory=Counter)
    in_progress: int = 0
    max_in_progress: int = 0
    server: Any = None
    port: int = 0
    seen: list[dict[str, str]] = field(default_factory=list)
    may_respond: asyncio.Event = field(default_factory=asyncio.Event)

    async def open(self) -> None:
        """Listens, or reserves a port that refuses connections."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        if self.behaviour == "refuses":
            self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handles the requests of one connection."""
        try:
            if self.behaviour == "resets before reading":
                writer.transport.abort()
            while not writer.is_closing():
                await self.serve_one(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handles one request."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head.split("\r\n")[1:])
        }
        self.seen.append(headers)
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        if self.behaviour != "did not run":
            self.ran[headers.get("idempotency-key", "")] += 1
        self.in_progress += 1
        self.max_in_progress = max(self.max_in_progress, self.in_progress)
        try:
            if self.behaviour != "slowly" or not await _closes(reader, within_s=0.2):
                await self.respond(headers["hyssopway-request-id"], body, writer)
        finally:
            self.in_progress -= 1

    async def respond(self, request_id: str, body: bytes, writer: asyncio.StreamWriter) -> None:
        """Responds according to `behaviour`."""
        own = f"Hyssopway-Request-Id: {request_id}\r\n"
        large = b"x" * (200 * KIB)
        match self.behaviour:
            case "whole" | "slowly":
                writer.write(_answer(own, body))
            case "whole large":
                writer.write(_answer(own, large))
            case "whole huge":
                writer.write(_answer(own, large * 50))
            case "resets after reading":
                writer.transport.abort()
            case "half":
                writer.write(_answer(own, b"0123456789")[:-5])
                writer.close()
            case "half chunked":
                writer.write(
                    f"HTTP/1.1 200 OK\r\n{own}Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n".encode()
                )
                writer.close()
            case "half large":
                writer.write(_answer(own, large)[: -50 * KIB])
                writer.close()
            case "twice":
                writer.write(_answer(own, body) * 2)
            case "wrong id":
                writer.write(_answer("Hyssopway-Request-Id: 0\r\n", b"of another"))
            case "no id":
                writer.write(_answer("", body))
            case "no length":
                writer.write(f"HTTP/1.1 200 OK\r\n{own}\r\nabc".encode())
                writer.close()
            case "did not run":
                writer.write(_answer(f"{own}Hyssopway-Not-Run: true\r\n", b"", status="503 Busy"))
            case "never":
                await asyncio.wait_for(self.may_respond.wait(), timeout=5)
                writer.write(_answer(own, body))
        await writer.drain()


async def _closes(reader: asyncio.StreamReader, *, within_s: float) -> bool:
    try:
        async with asyncio.timeout(within_s):
            return not await reader.read(1)
    except TimeoutError:
        return False


def _answer(headers: str, body: bytes, *, status: str = "200 OK") -> bytes:
    return f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


@dataclass(slots=True)
class GatewayHarness:
    """A gateway with its fakes and an HTTP client."""

    url: str
    gateway: Gateway
    submitter: FakeSubmitter
    registry: EndpointRegistry
    freshness: Freshness
    session: aiohttp.ClientSession
    endpoints: list[FakeEndpoint] = field(default_factory=list)

    async def add(self, behaviour: str, *, slots: int = 4, service: str = "plan") -> FakeEndpoint:
        """Starts and announces an endpoint."""
        endpoint = FakeEndpoint(behaviour)
        await endpoint.open()
        name = f"endpoint-{len(self.endpoints)}"
        address = f"http://127.0.0.1:{endpoint.port}"
        announcement = Announcement(service=service, address=address, slots=slots)
        record = self.registry.announce(name=name, announcement=announcement)
        record.announced_at -= 10
        record.expires_at += 100
        self.endpoints.append(endpoint)
        return endpoint

    async def call(self, service: str = "plan", *, key: str = "", **options: Any) -> tuple[int, Any]:
        """Sends a request and returns the status and the JSON or raw body."""
        headers = options.pop("headers", {}) | ({"Idempotency-Key": key} if key else {})
        url = f"{self.url}/call/{service}/path"
        method = options.pop("method", "POST")
        async with self.session.request(method, url, headers=headers, **options) as response:
            is_json = response.content_type == "application/json"
            return response.status, await (response.json() if is_json else response.read())


SERVICES = [
    Service(name="plan", pool="p", timeout_s=2.0),
    Service(name="once", pool="p", timeout_s=2.0, idempotent=False),
    Service(name="keyed", pool="p", timeout_s=2.0, access=QueueAccess.KEYED),
]


@pytest.fixture
def submitter() -> FakeSubmitter:
    return FakeSubmitter()


@pytest.fixture
async def harness():
    """Runs a gateway without endpoints."""
    clock = monotonic_s
    submitter = FakeSubmitter()
    document = SimpleNamespace(
        service=lambda *, name: next((item for item in SERVICES if item.name == name), None)
    )
    submitter.state.indexes.parsed["production"] = document
    registry = EndpointRegistry(clock=clock)
    ledger = CreditLedger(registry=registry, clock=clock)
    homes = HomeDirectory(own_name="one", ledger=ledger, peers=None, others={}, clock=clock)
    router = Router(homes=homes, health=EndpointHealth(clock=clock), clock=clock)
    maintaining = asyncio.create_task(router.run())
    sessions = [open_session(reuse_connections=reuse) for reuse in (True, False)]
    claims = ClaimManager(own_name="one", submitter=submitter)
    freshness = Freshness(clock=clock)
    freshness.confirm(at=clock() + 1000)
    forwarder = Forwarder(claims=claims, session=sessions[0], single_use_session=sessions[1], clock=clock)
    gateway = Gateway(
        replica=submitter.replica,
        freshness=freshness,
        router=router,
        forwarder=forwarder,
        metrics=Metrics(),
        max_body_bytes=256 * KIB,
        clock=clock,
    )
    app = web.Application(middlewares=[error_middleware])
    gateway.add_routes(app)
    listener = HttpListener(app=app, shutdown_s=1)
    await listener.open(host="127.0.0.1", port=0)
    host, port = listener.tcp_server.sockets[0].getsockname()[:2]
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=10)) as session:
        made = GatewayHarness(f"http://{host}:{port}", gateway, submitter, registry, freshness, session)
        yield made
    for endpoint in made.endpoints:
        endpoint.may_respond.set()
        endpoint.server.close()
    maintaining.cancel()
    router.close()
    await listener.close()
    for item in sessions:
        await item.close()
