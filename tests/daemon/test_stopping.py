"""Graceful stop of a daemon."""

from __future__ import annotations

import asyncio
import signal
import time

from .conftest import read_status


async def test_health_check_fails_before_the_port_closes_and_requests_finish(daemon, session):
    """Guards against closing the port while the load balancer still uses it, and against cut requests."""
    reader, writer = await asyncio.open_connection(daemon.own["host"], daemon.own["http_port"])
    writer.write(b"PUT /v1/endpoints/e HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{")
    started = time.monotonic()
    daemon.send(signal.SIGTERM)
    while await read_status(session, f"{daemon.url}/health") != 503:
        assert time.monotonic() < started + 0.9
    async with session.get(f"{daemon.url}/v1/zones") as answer:
        assert answer.status == 403
        assert answer.headers["Connection"] == "close"
    await asyncio.sleep(max(0.0, started + 1.3 - time.monotonic()))
    assert await read_status(session, f"{daemon.url}/health") == 0
    writer.write(b"}")
    assert b"403" in await reader.readline()
    assert await asyncio.to_thread(daemon.process.wait, 10) == 0
