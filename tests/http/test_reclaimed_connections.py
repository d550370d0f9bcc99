"""Connections that make room for others after their last response."""

from __future__ import annotations

import asyncio

from aiohttp import web

from hyssopway.http import HttpListener
from hyssopway.http.request_limits import RequestLimits
from hyssopway.http.request_memory import RequestMemory
from hyssopway_standins.waiting import wait_until

HOST = "127.0.0.1"
# Less than the write buffer at which a handler has to wait.
RESPONSE_BYTES = 50_000
MAX_REQUESTS = 1000


async def send(request: web.Request) -> web.Response:
    return web.Response(body=b"x" * RESPONSE_BYTES)


async def test_connection_whose_caller_took_its_response_late_is_closed_when_it_makes_room():
    """Guards against connections that stay open although the limit no longer counts them."""
    app = web.Application()
    app.router.add_get("/p", send)
    listener = HttpListener(app=app, shutdown_s=1, limits=RequestLimits(), memory=RequestMemory(memory_mb=64))
    await listener.open(host=HOST, port=0)
    port = listener.tcp_server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.transport.pause_reading()

    async def is_answered() -> bool:
        return all(connection.size_in_progress is None for connection in listener.connections)

    async def has_waiting_response() -> bool:
        return bool(listener.memory.holders)

    sent = 0
    while not listener.memory.holders and sent < MAX_REQUESTS:
        writer.write(b"GET /p HTTP/1.1\r\nHost: x\r\n\r\n")
        sent += 1
        await asyncio.sleep(0.002)
        await wait_until(is_answered, timeout_s=5)
    assert await has_waiting_response()
    writer.transport.resume_reading()
    async with asyncio.timeout(10):
        for _ in range(sent):
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(RESPONSE_BYTES)
    listener.memory.clock = lambda now=listener.memory.clock: now() + 2.0
    assert listener._reclaim()
    async with asyncio.timeout(5):
        assert await reader.read() == b""
    await listener.close()
