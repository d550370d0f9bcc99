"""Fixture that starts one daemon process."""

from __future__ import annotations

import time

import aiohttp
import pytest

from hyssopway_standins.processes import Deployment


@pytest.fixture
async def daemon(tmp_path, session):
    """A daemon that serves HTTP; it cannot reach a quorum, so there is no leader."""
    prepared = Deployment.prepare(name="pantry", folder=tmp_path, overrides={"drain_health_s": 1.0})
    started = prepared.daemons["nashua-1"]
    started.start(initialise=True)
    try:
        deadline = time.monotonic() + 15
        while await read_status(session, f"{started.url}/health") != 200:
            assert time.monotonic() < deadline
        yield started
    finally:
        started.kill()


async def read_status(session, url: str, *, token: str = "") -> int:
    """Returns the HTTP status of a GET request; 0 if the connection is refused."""
    try:
        async with session.get(url, headers={"Authorization": f"Bearer {token}"}) as answer:
            return answer.status
    except aiohttp.ClientConnectorError:
        return 0
