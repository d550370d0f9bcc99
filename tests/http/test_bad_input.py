"""Malformed input on HTTP connections, and the limit on connections."""

from __future__ import annotations

import asyncio
import json

import pytest
from aiohttp import web
from pydantic import TypeAdapter

from hyssopway.http import (
    HttpListener,
    error_middleware,
    json_response,
    read_json,
    request_body,
)
from hyssopway.http.request_limits import RequestLimits
from hyssopway.http.responses import failure_response
from hyssopway_standins.waiting import wait_until

HOST = "127.0.0.1"
NUMBERS = TypeAdapter(list[int])


async def echo_numbers(request: web.Request) -> web.Response:
    result = await read_json(request, NUMBERS)
    return failure_response(result.error) if result.is_error() else json_response(result.ok)


async def fail(request: web.Request) -> web.Response:
    raise RuntimeError("secret detail")


@pytest.fixture(params=[False, True], ids=["whole bodies", "streamed bodies"])
async def port(request, monkeypatch):
    monkeypatch.setattr(request_body, "BODY_TIMEOUT_S", 0.3)
    app = web.Application(client_max_size=2000, middlewares=[error_middleware])
    app.router.add_post("/take", echo_numbers)
    app.router.add_get("/fail", fail)
    limits = RequestLimits(head_timeout_s=0.3, body_timeout_s=0.3, streams_bodies=request.param)
    listener = HttpListener(app=app, shutdown_s=1, limits=limits)
    await listener.open(host=HOST, port=0)
    yield listener.tcp_server.sockets[0].getsockname()[1]
    await listener.close()


async def exchange(port: int, *parts: bytes, end: bool = False) -> tuple[int, dict[str, object]]:
    reader, writer = await asyncio.open_connection(HOST, port)
    for part in parts:
        writer.write(part)
        await asyncio.sleep(0.01)
    if end:
        writer.write_eof()
    async with asyncio.timeout(5):
        head = await reader.readuntil(b"\r\n\r\n")
        size = next(
            int(line[15:]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length")
        )
        body = await reader.readexactly(size)
    writer.close()
    assert b"application/json" in head
    return int(head.split()[1]), json.loads(body)


def post(body: bytes, *, size: int | None = None, headers: bytes = b"") -> bytes:
    length = len(body) if size is None else size
    return b"POST /take HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n%s\r\n%s" % (length, headers, body)


@pytest.mark.parametrize(
    ("parts", "end", "status", "code"),
    [
        ([b"GET /absent HTTP/1.1\r\nHost: x\r\n\r\n"], False, 404, 105),
        ([b"PATCH /take HTTP/1.1\r\nHost: x\r\n\r\n"], False, 405, 106),
        ([b"GET /fail HTTP/1.1\r\nHost: x\r\n\r\n"], False, 500, 901),
        ([b"nonsense\r\n\r\n"], False, 400, 101),
        ([b"GET / HTTP/9.9.9\r\n\r\n"], False, 400, 101),
        ([b"GET / HTTP/1.1\r\nbad header\r\n\r\n"], False, 400, 101),
        ([b"POST /take HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n"], False, 400, 101),
        ([b"\x16\x03\x01\x02\x00\x01\x00"], False, 400, 101),
        ([b"GET /" + b"a" * 9000 + b" HTTP/1.1\r\nHost: x\r\n\r\n"], False, 431, 103),
        ([post(b"[1]", headers=b"A: " + b"b" * 9000 + b"\r\n")], False, 431, 103),
        ([post(b"[1]", headers=b"".join(b"H%d: x\r\n" % n for n in range(200)))], False, 431, 103),
        ([post(b"x" * 3000)], False, 413, 102),
        ([post(b"{")], False, 400, 101),
        ([post(b"")], False, 400, 101),
        ([post(b"[1.5]")], False, 400, 101),
        ([post(b"\xff\xfe")], False, 400, 101),
        ([b"GET /ab"], False, 408, 104),
        ([post(b"[1", size=10)], False, 408, 104),
        ([b"GET /ab"], True, 400, 101),
        ([post(b"[1", size=10)], True, 400, 101),
        ([b"POST /take HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"], False, 400, 101),
    ],
)
async def test_bad_input_gets_numbered_error_and_affects_no_other_caller(port, parts, end, status, code):
    """Guards against HTML errors, missing responses, and an entry VM that stops serving others."""
    actual, body = await exchange(port, *parts, end=end)
    assert (actual, body["code"]) == (status, code), body
    assert "secret" not in json.dumps(body)
    assert (await exchange(port, post(b"[1, 2]")))[1] == [1, 2]


async def test_half_closed_caller_gets_response(port):
    """Guards against dropping the response to a caller that closed its sending side after the request."""
    assert (await exchange(port, post(b"[3]"), end=True)) == (200, [3])


async def test_connections_beyond_the_limit_are_refused_and_later_served():
    """Guards against running out of file descriptors, and against a count of connections that only grows."""
    app = web.Application(middlewares=[error_middleware])
    app.router.add_post("/take", echo_numbers)
    listener = HttpListener(app=app, shutdown_s=1, max_connections=2)
    await listener.open(host=HOST, port=0)
    port = listener.tcp_server.sockets[0].getsockname()[1]
    writers = [(await asyncio.open_connection(HOST, port))[1] for _ in range(2)]
    for _ in range(3):
        status, body = await exchange(port, post(b"[1]"))
        assert (status, body["code"], body["work"]) == (503, 413, "not_run")
    for writer in writers:
        writer.close()

    async def all_closed() -> bool:
        return not listener.connections

    await wait_until(all_closed, timeout_s=5)
    assert (await exchange(port, post(b"[1]"))) == (200, [1])
    await listener.close()


async def test_idle_connection_is_not_timed_out(port):
    """Guards against closing a keep-alive connection between two requests."""
    reader, writer = await asyncio.open_connection(HOST, port)
    for _ in range(2):
        writer.write(post(b"[1]"))
        assert b"200" in await reader.readline()
        assert (await reader.readuntil(b"\r\n\r\n[1]")).endswith(b"[1]")
        await asyncio.sleep(0.5)
    writer.close()
