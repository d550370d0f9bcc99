"""Callers that send too much, too slowly or wrongly."""

from __future__ import annotations

import asyncio
import json

import pytest

from hyssopway.control.record import Key
from hyssopway.gateway import request_body
from hyssopway.key import hash_secret, make_key, split_key

HEAD = "POST /call/plan/x HTTP/1.1\r\nHost: a\r\n"
CASES = [
    ("not HTTP", "hello\r\n\r\n", 400, "MALFORMED_REQUEST"),
    ("field without a name", f"{HEAD}: x\r\n\r\n", 400, "MALFORMED_REQUEST"),
    ("long field", f"{HEAD}A: {'x' * 9000}\r\n\r\n", 431, "HEADER_TOO_LARGE"),
    ("long line", f"GET /{'x' * 9000} HTTP/1.1\r\n\r\n", 431, "HEADER_TOO_LARGE"),
    ("many fields", HEAD + "A: x\r\n" * 200 + "\r\n", 431, "HEADER_TOO_LARGE"),
    ("declared too large", f"{HEAD}Content-Length: 9999999\r\n\r\n", 413, "BODY_TOO_LARGE"),
    ("two lengths", f"{HEAD}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400, "MALFORMED_REQUEST"),
    ("bad chunk", f"{HEAD}Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, "MALFORMED_REQUEST"),
    ("slow body", f"{HEAD}Content-Length: 10\r\n\r\nabc", 408, "REQUEST_TOO_SLOW"),
    ("timeout is no number", f"{HEAD}Hyssopway-Timeout: x\r\n\r\n", 400, "MALFORMED_REQUEST"),
    ("timeout is over the limit", f"{HEAD}Hyssopway-Timeout: 61\r\n\r\n", 400, "MALFORMED_REQUEST"),
    ("timeout is nan", f"{HEAD}Hyssopway-Timeout: nan\r\n\r\n", 400, "MALFORMED_REQUEST"),
    ("no such path", "GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n", 404, "UNKNOWN_RESOURCE"),
    ("no such service", "GET /call/none HTTP/1.1\r\nHost: a\r\n\r\n", 404, "UNKNOWN_SERVICE"),
    ("no key", "GET /call/keyed HTTP/1.1\r\nHost: a\r\n\r\n", 401, "KEY_MISSING"),
    ("no idempotency key", "GET /call/once HTTP/1.1\r\nHost: a\r\n\r\n", 400, "IDEMPOTENCY_KEY_MISSING"),
]


@pytest.mark.parametrize(
    ("text", "status", "name"), [case[1:] for case in CASES], ids=[case[0] for case in CASES]
)
async def test_bad_input_gets_a_numbered_failure_and_harms_no_one(bench, monkeypatch, text, status, name):
    """Guards against unclear errors, requests that reach an endpoint broken, and slots that are lost."""
    monkeypatch.setattr(request_body, "INPUT_IDLE_S", 0.2)
    endpoint = await bench.add("whole", slots=1)
    host, port = bench.url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(text.encode())
    head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), timeout=3)).decode()
    length = int(head.lower().split("content-length: ")[1].split("\r\n")[0])
    body = json.loads(await reader.readexactly(length))
    writer.close()
    assert (head.split()[1], body["name"], body["work"]) == (str(status), name, "not_run")
    assert not endpoint.ran
    assert await bench.call(data=b"next") == (200, b"next")


async def test_body_that_ends_early_reaches_no_endpoint(bench):
    """Guards against half of a request being run."""
    endpoint = await bench.add("whole", slots=1)
    host, port = bench.url.removeprefix("http://").split(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"{HEAD}Content-Length: 10\r\n\r\nabc".encode())
    writer.write_eof()
    await asyncio.sleep(0.1)
    writer.close()
    assert bench.gateway.open_requests == 0
    assert not endpoint.ran


async def test_body_without_length_is_limited_while_it_streams(bench):
    """Guards against a chunked body that fills memory or an endpoint."""
    await bench.add("whole")

    async def parts():
        for _ in range(40):
            yield b"x" * 10_000

    status, body = await bench.call(data=parts())
    assert (status, body["name"]) == (413, "BODY_TOO_LARGE")


async def test_key_is_checked_again_after_the_wait(bench):
    """Guards against work for a key that can no longer be confirmed when its turn comes."""
    key_id, text = make_key()
    key = Key(key_id=key_id, key_hash=hash_secret(split_key(text)[1]), team="t", granted_by="o", granted_ms=0)
    bench.submitter.state.tables.keys[key_id] = key
    endpoint = await bench.add("slowly", slots=1, service="keyed")
    headers = {"Authorization": f"Bearer {text}"}
    first = asyncio.create_task(bench.call("keyed", headers=headers))
    await asyncio.sleep(0.05)
    second = asyncio.create_task(bench.call("keyed", headers=headers))
    await asyncio.sleep(0.05)
    bench.freshness.confirmed_at = 0.0
    assert (await first)[0] == 200
    status, body = await second
    assert (status, body["name"], body["work"]) == (503, "KEY_UNCONFIRMED", "not_run")
    assert sum(endpoint.ran.values()) == 1
