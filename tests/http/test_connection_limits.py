"""Connections that hold unfinished requests, on a listener with little memory."""

from __future__ import annotations

import asyncio
import gzip

import pytest
from aiohttp import web

from hyssopway.http import HttpListener
from hyssopway.http.request_limits import RequestLimits
from hyssopway.http.request_memory import CloseReason, RequestMemory
from hyssopway_standins.waiting import wait_until

HOST = "127.0.0.1"
BODY_BYTES = 200_000
STALLED = b"POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES + b"x" * (BODY_BYTES - 1)
SMALL = b"POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 4000\r\n\r\n" + b"x" * 4000


async def answer(request: web.Request) -> web.Response:
    return web.Response(text=f"{len(await request.read())} {request.query_string}")


@pytest.fixture
async def listener():
    """Listener of a process with 16 MB, so that unfinished requests may hold 1 MB."""
    app = web.Application(client_max_size=2**22)
    app.router.add_route("*", "/{path:.*}", answer)
    opened = HttpListener(
        app=app, shutdown_s=1, limits=RequestLimits(), memory=RequestMemory(memory_mb=16), max_connections=20
    )
    await opened.open(host=HOST, port=0)
    yield opened
    await opened.close()


async def connect(listener, data: bytes = b""):
    reader, writer = await asyncio.open_connection(
        HOST, listener.tcp_server.sockets[0].getsockname()[1], limit=2**20
    )
    writer.write(data)
    return reader, writer


async def read_status(reader) -> int:
    async with asyncio.timeout(5):
        line = await reader.readline()
    return int(line.split()[1])


async def test_oldest_unfinished_request_makes_room_and_others_are_served(listener):
    """Guards against stalled bodies that shut out ordinary callers, or that are all held."""
    stalled = []
    for number in range(8):
        stalled.append(await connect(listener, STALLED))
        await wait_until(lambda count=number + 1: is_held(listener, count=min(count, 4)), timeout_s=5)
        reader, _ = await connect(listener, SMALL)
        assert await read_status(reader) == 200
    assert [await read_status(reader) for reader, _ in stalled[:4]] == [503] * 4
    assert listener.memory.held_bytes <= listener.memory.max_unfinished_bytes
    assert listener.memory.closed[CloseReason.MEMORY] == 4
    for reader, writer in stalled[4:]:
        writer.write(b"x")
        assert await read_status(reader) == 200
    assert listener.memory.held_bytes == 0
    assert listener.memory.in_progress_bytes == 0


async def is_held(listener, *, count: int) -> bool:
    held = listener.memory.held_bytes
    return held >= count * BODY_BYTES


async def test_largest_body_in_chunks_of_one_byte_is_served_in_calm(listener):
    """Guards against limits that refuse a single request within the limits."""
    data = (
        b"POST /p HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"1\r\nx\r\n" * 262_144
        + b"0\r\n\r\n"
    )
    reader, _ = await connect(listener, data)
    async with asyncio.timeout(20):
        assert b"200" in await reader.readline()
    async with asyncio.timeout(5):
        assert (await reader.readuntil(b"\r\n\r\n262144 ")).endswith(b"262144 ")


async def test_streamed_body_in_chunks_of_one_byte_is_read_to_its_end_and_held_in_part():
    """Guards against a streamed body that waits for ever after a pause, and against one that piles up meanwhile."""
    app = web.Application(client_max_size=2**22)
    app.router.add_post("/p", answer)
    streaming = HttpListener(app=app, shutdown_s=1)
    await streaming.open(host=HOST, port=0)
    held = 0
    reader, writer = await connect(
        streaming, b"POST /p HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    async with asyncio.timeout(20):
        for _ in range(64):
            writer.write(b"1\r\nx\r\n" * 4096)
            await writer.drain()
            held = max(held, *(connection.framer.held_bytes for connection in streaming.connections))
        writer.write(b"0\r\n\r\n")
        assert b"200" in await reader.readline()
        assert (await reader.readuntil(b"\r\n\r\n262144 ")).endswith(b"262144 ")
    assert held < 300_000
    await streaming.close()


async def test_caller_that_waits_for_the_interim_response_gets_it(listener):
    """Guards against a caller and a listener that wait for one another."""
    head = b"POST /p HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n"
    reader, writer = await connect(listener, head)
    assert await read_status(reader) == 100
    assert await reader.readline() == b"\r\n"
    writer.write(b"abc")
    assert await read_status(reader) == 200


@pytest.mark.parametrize("half_closes", [False, True])
async def test_requests_sent_at_once_are_all_answered_in_order(listener, half_closes):
    """Guards against requests that are lost behind one in progress, or at the end of the input."""
    data = b"".join(b"GET /p?%d HTTP/1.1\r\nHost: x\r\n\r\n" % number for number in range(2000))
    reader, writer = await connect(listener, data)
    if half_closes:
        writer.write_eof()
    async with asyncio.timeout(20):
        for number in range(2000):
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
            text = b"0 %d" % number
            assert await reader.readexactly(len(text)) == text
    if half_closes:
        assert await reader.read() == b""


async def test_refused_caller_that_sends_on_gets_its_response(listener):
    """Guards against a reset that takes the response from a caller that is still sending."""
    reader, writer = await connect(listener, b"POST /p HTTP/1.1\r\nContent-Length: 999999\r\n\r\n")
    for _ in range(20):
        writer.write(b"x" * 10_000)
        await asyncio.sleep(0.005)
    assert await read_status(reader) == 413


async def test_request_in_progress_is_answered_although_its_connection_is_closed_early(listener):
    """Guards against a memory limit that takes the response of a request that is carried out."""
    started, release = asyncio.Event(), asyncio.Event()

    async def wait(request: web.Request) -> web.Response:
        started.set()
        await release.wait()
        return web.Response(text="done")

    app = web.Application()
    app.router.add_get("/wait", wait)
    slow = HttpListener(app=app, shutdown_s=1, limits=RequestLimits(), memory=RequestMemory(memory_mb=16))
    await slow.open(host=HOST, port=0)
    reader, writer = await connect(slow, b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
    await started.wait()
    writer.write(b"GET /wait HTTP/1.1\r\n")
    await wait_until(lambda: has_holders(slow), timeout_s=5)
    next(iter(slow.memory.holders)).close_early(CloseReason.MEMORY)
    release.set()
    assert await read_status(reader) == 200
    assert (await reader.read()).endswith(b"done")
    await slow.close()


async def has_holders(listener) -> bool:
    return bool(listener.memory.holders)


async def test_connections_without_requests_make_room_for_others(listener):
    """Guards against idle connections that shut out ordinary callers."""
    idle = [await connect(listener) for _ in range(listener.max_connections)]
    listener.memory.clock = lambda now=listener.memory.clock: now() + 2.0
    reader, _ = await connect(listener, SMALL)
    assert await read_status(reader) == 200
    async with asyncio.timeout(5):
        assert await idle[0][0].read() == b""


async def test_response_that_is_not_read_is_given_up_for_others():
    """Guards against responses that are held for callers that do not read, and against requests they send on."""
    calls = 0

    async def send_much(request: web.Request) -> web.Response:
        nonlocal calls
        calls += 1
        return web.Response(body=b"x" * 8_000_000)

    app = web.Application()
    app.router.add_get("/much", send_much)
    listener = HttpListener(app=app, shutdown_s=1, limits=RequestLimits(), memory=RequestMemory(memory_mb=16))
    await listener.open(host=HOST, port=0)
    connections = [await connect(listener, b"GET /much HTTP/1.1\r\nHost: x\r\n\r\n" * 100) for _ in range(3)]

    async def is_given_up() -> bool:
        return listener.memory.closed[CloseReason.UNREAD] == len(connections)

    for _, writer in connections:
        writer.transport.pause_reading()
    await wait_until(is_given_up, timeout_s=5)
    assert calls == len(connections)
    assert listener.memory.held_bytes == 0
    await listener.close()


async def test_body_over_an_unconfirmed_limit_may_be_sent_again(listener):
    """Guards against a final refusal by an entry that does not know the document in force yet."""
    listener.limits.is_confirmed = False
    reader, _ = await connect(listener, b"POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 262145\r\n\r\n")
    assert await read_status(reader) == 503


async def test_compressed_body_is_refused_before_it_is_unpacked(listener):
    """Guards against small bodies that take many times their size, which no limit counts."""
    body = gzip.compress(b"x" * 4_000_000)
    head = b"POST /p HTTP/1.1\r\nHost: x\r\ncontent-ENCODING: gzip\r\nContent-Length: %d\r\n\r\n" % len(body)
    reader, _ = await connect(listener, head + body)
    assert await read_status(reader) == 400


@pytest.mark.parametrize("ending", ["half-closed", "bad chunk"])
async def test_answered_streamed_request_gets_no_second_response(ending):
    """Guards against an error response behind, or inside, the response to a request whose body is still open."""
    app = web.Application()
    app.router.add_post("/p", answer)
    streaming = HttpListener(app=app, shutdown_s=1)
    await streaming.open(host=HOST, port=0)
    head = b"POST /absent HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"
    reader, writer = await connect(streaming, head)
    assert await read_status(reader) == 404
    if ending == "half-closed":
        writer.write_eof()
    else:
        writer.write(b"zz\r\n")
    async with asyncio.timeout(5):
        assert b"HTTP/1.1 " not in await reader.read()
    await streaming.close()


async def test_bad_chunk_of_a_streamed_body_is_left_to_the_handler():
    """Guards against a refusal that says "not run" of a request whose handler has passed on a part of it."""
    app = web.Application()

    async def fail_as_run(request: web.Request) -> web.Response:
        try:
            await request.read()
        except web.RequestPayloadError:
            return web.Response(status=502)
        return web.Response()

    app.router.add_post("/p", fail_as_run)
    streaming = HttpListener(app=app, shutdown_s=1)
    await streaming.open(host=HOST, port=0)
    head = b"POST /p HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"
    reader, writer = await connect(streaming, head)
    await asyncio.sleep(0.1)
    writer.write(b"zz\r\n")
    assert await read_status(reader) == 502
    await streaming.close()


async def test_connection_that_has_begun_a_request_or_is_sent_a_response_makes_no_room(listener):
    """Guards against a connection that is closed for another one although its client acts."""
    busy = [await connect(listener, SMALL) for _ in range(listener.max_connections)]
    for reader, _ in busy:
        assert await read_status(reader) == 200
    listener.memory.clock = lambda now=listener.memory.clock: now() + 2.0
    for _, writer in busy:
        writer.write(SMALL[:-1])
    await wait_until(lambda: has_holders_all(listener, count=len(busy)), timeout_s=5)
    reader, _ = await connect(listener, SMALL)
    assert await read_status(reader) == 503
    for _, writer in busy:
        writer.write(SMALL[-1:])
    for reader, _ in busy:
        async with asyncio.timeout(5):
            await reader.readuntil(b"4000 ")
            assert b"200" in await reader.readline()


async def has_holders_all(listener, *, count: int) -> bool:
    return len(listener.memory.holders) == count


async def test_refusal_for_lack_of_memory_says_when_to_come_back(listener):
    """Guards against a caller that was not served and is not told when to try again."""
    stalled = [await connect(listener, STALLED) for _ in range(6)]
    async with asyncio.timeout(5):
        head = await stalled[0][0].readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503")
    assert b"\r\nRetry-After: 1\r\n" in head
