"""Fixtures that run a deployment of daemon processes."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
import capnp
import pytest

from hyssopway.peer import PeerClient
from hyssopway_standins.fleet import EXAMPLES
from hyssopway_standins.fleet_stand_in import FleetStandIn
from hyssopway_standins.operator_client import OperatorClient
from hyssopway_standins.processes import Deployment
from virtual_time import VirtualTimeLoop

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--rewrite-golden", action="store_true", help="rewrite the golden files of whole sessions"
    )


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselects the tests listed in KNOWN-RED.txt, unless one of them is named on the command line."""
    known = _read_known_red()
    if any(name in argument for name in known for argument in config.args):
        return
    items[:] = [item for item in items if item.nodeid not in known]


def pytest_asyncio_loop_factories(
    config: pytest.Config, item: pytest.Item
) -> dict[str, Callable[[], asyncio.AbstractEventLoop]]:
    """Runs tests with the marker `virtual_time` on an event loop with virtual time."""
    if item.get_closest_marker("virtual_time") is not None:
        return {"virtual": VirtualTimeLoop}
    return {"real": asyncio.new_event_loop}


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Prints the tests listed in KNOWN-RED.txt."""
    for name in _read_known_red():
        terminalreporter.write_line(f"KNOWN RED, not run: {name}")


def _read_known_red() -> list[str]:
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return [line.removeprefix("test: ").strip() for line in lines if line.startswith("test: ")]


@pytest.fixture
async def unreachable_peer() -> AsyncIterator[PeerClient]:
    """Connection to a daemon that does not listen."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    async with capnp.kj_loop():
        yield PeerClient(daemon="a", host="127.0.0.1", port=port, own_name="b", token="token")


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=20)) as opened:
        yield opened


@pytest.fixture
async def deployment(tmp_path: Path) -> AsyncIterator[Deployment]:
    """Six running daemons of the pantry deployment, ready for changes."""
    prepared = Deployment.prepare(name="pantry", folder=tmp_path)
    prepared.start()
    try:
        await prepared.wait_ready()
        yield prepared
    finally:
        prepared.stop()


@pytest.fixture
async def operator(deployment: Deployment, session: aiohttp.ClientSession) -> OperatorClient:
    """Client of an operator, after the activation of the example document."""
    url = deployment.daemons["nashua-1"].url
    client = OperatorClient(session=session, url=url, token=deployment.operator_token)
    await client.activate_document((EXAMPLES / "pantry" / "document.yaml").read_text())
    return client


@pytest.fixture
async def fleet_stand_in(deployment: Deployment, operator: OperatorClient) -> AsyncIterator[FleetStandIn]:
    """Running stand-ins for all endpoints and workers of the pantry deployment."""
    prepared = FleetStandIn.prepare(deployment)
    await prepared.start()
    try:
        yield prepared
    finally:
        await prepared.stop()
