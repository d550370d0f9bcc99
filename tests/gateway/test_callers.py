"""Malformed, slow and oversized requests of callers."""

from __future__ import annotations

import asyncio
import json
from types import SimpleNamespace

import pytest

from hyssopway.control.record import Key
from hyssopway.gateway import forwarder, request_body
from hyssopway.gateway.request_records import MAX_RECORDS
from hyssopway.key import hash_secret, make_key, split_key
from hyssopway.operator_api.request_explanation import explain_request
from hyssopway_standins.waiting import wait_until

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
async def test_bad_input_gets_numbered_failure_and_leaks_no_slot(harness, monkeypatch, text, status, name):
    """Guards against unnumbered errors, malformed requests that reach an endpoint, and slot leaks."""
    monkeypatch.setattr(request_body, "BODY_READ_TIMEOUT_S", 0.2)
    endpoint = await harness.add("whole", slots=1)
    host, port = harness.url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(text.encode())
    head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), timeout=3)).decode()
    length = int(head.lower().split("content-length: ")[1].split("\r\n")[0])
    body = json.loads(await reader.readexactly(length))
    writer.close()
    assert (head.split()[1], body["name"], body["work"]) == (str(status), name, "not_run")
    assert not endpoint.ran
    assert await harness.call(data=b"next") == (200, b"next")


async def test_body_that_ends_early_reaches_no_endpoint(harness):
    """Guards against running a truncated request."""
    endpoint = await harness.add("whole", slots=1)
    host, port = harness.url.removeprefix("http://").split(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"{HEAD}Content-Length: 10\r\n\r\nabc".encode())
    writer.write_eof()
    await asyncio.sleep(0.1)
    writer.close()
    assert harness.gateway.open_requests == 0
    assert not endpoint.ran


async def test_trickled_body_is_rejected_before_deadline(harness, monkeypatch):
    """Guards against a caller that holds a slot by trickling its body."""
    monkeypatch.setattr(request_body, "BODY_GRACE_S", 0.3)
    host, port = harness.url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"{HEAD}Hyssopway-Timeout: 60\r\nContent-Length: 1000\r\n\r\n".encode())

    async def send_byte() -> bool:
        writer.write(b"x")
        return bool(reader._buffer)

    await wait_until(send_byte, timeout_s=5)
    assert b"408" in await reader.readline()
    writer.close()


async def test_caller_that_does_not_read_frees_its_slot(harness, monkeypatch):
    """Guards against callers that hold the slots of an endpoint by not reading."""
    monkeypatch.setattr(forwarder, "RESPONSE_WRITE_TIMEOUT_S", 0.3)
    endpoint = await harness.add("whole huge", slots=1)
    host, port = harness.url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
    writer.write(f"{HEAD}Hyssopway-Timeout: 60\r\nContent-Length: 1\r\n\r\nx".encode())

    async def is_freed() -> bool:
        return bool(endpoint.ran) and harness.gateway.open_requests == 0

    await wait_until(is_freed, timeout_s=5)
    # The broken connection tells the caller that the response is incomplete.
    with pytest.raises((OSError, asyncio.IncompleteReadError)):
        await reader.readexactly(10_000_000)
    writer.close()
    endpoint.behaviour = "whole"
    assert await harness.call(data=b"next") == (200, b"next")


@pytest.mark.parametrize("pause_s", [0.0, 0.05], ids=["at once", "while it runs"])
@pytest.mark.parametrize("service", ["plan", "once"])
async def test_caller_that_closes_its_sending_side_gets_the_answer(harness, service, pause_s):
    """Guards against taking a half-closed connection for a disconnect."""
    await harness.add("slowly", service=service)
    host, port = harness.url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"POST /call/{service}/x HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\n"
    writer.write(f"{head}body".encode())
    await asyncio.sleep(pause_s)
    writer.write_eof()
    response = await asyncio.wait_for(reader.read(), timeout=3)
    writer.close()
    assert response.startswith(b"HTTP/1.1 200")
    assert response.endswith(b"\r\n\r\nbody")


async def test_endpoint_learns_the_remaining_time(harness):
    """Guards against work that continues after the caller's deadline, and against a value set by the caller."""
    endpoint = await harness.add("whole")
    await harness.call(headers={"Hyssopway-Timeout": "1.5", "Hyssopway-Remaining": "99"})
    assert 0 < float(endpoint.seen[0]["hyssopway-remaining"]) <= 1.5


async def test_recent_requests_are_recorded(harness):
    """Guards against a request whose attempts and outcome can't be found afterwards."""
    await harness.add("did not run")
    assert (await harness.call(key="failed"))[0] == 503
    await harness.add("whole", service="once")
    assert (await harness.call("once", key="ran", data=b"x"))[0] == 200
    (failed,), (ran,) = harness.gateway.records.find("failed"), harness.gateway.records.find("ran")
    assert failed.endpoints[0] == "endpoint-0"
    assert "ENDPOINT_REFUSED, not_run" in failed.outcome
    assert (ran.service, ran.endpoints, ran.outcome) == ("once", ["endpoint-1"], "200")
    harness.submitter.state.indexes.parsed["production"] = SimpleNamespace(
        services=[SimpleNamespace(name="once", idempotent=False)], teams=[]
    )
    (claim,) = explain_request(state=harness.submitter.state, request_id="ran")["claims"]
    assert (claim["environment"], claim["service"], claim["status"]) == ("production", "once", 200)
    harness.gateway.records.records.extend([ran] * MAX_RECORDS)
    assert not harness.gateway.records.find("failed")


@pytest.mark.parametrize("service", ["plan", "once"])
async def test_request_bodies_share_memory_limit(harness, service):
    """Guards against large bodies that exhaust memory, and against leaks of reserved memory."""
    await harness.add("slowly", service=service)
    harness.gateway.body_memory.limit = 100
    calls = [harness.call(service, key=f"k{number}", data=b"x" * 60) for number in range(2)]
    responses = sorted(await asyncio.gather(*calls), key=lambda response: response[0])
    assert [status for status, _ in responses] == [200, 503]
    assert (responses[1][1]["name"], responses[1][1]["work"]) == ("QUEUE_FULL", "not_run")
    assert (await harness.call(service, key="k3", data=b"y"))[0] == 200
    assert harness.gateway.body_memory.reserved == 0


async def test_body_without_length_is_limited_while_it_streams(harness):
    """Guards against a chunked body that exceeds the size limit while it is streamed."""
    await harness.add("whole")

    async def parts():
        for _ in range(40):
            yield b"x" * 10_000

    status, body = await harness.call(data=parts())
    assert (status, body["name"]) == (413, "BODY_TOO_LARGE")


async def test_key_is_checked_again_after_the_wait(harness):
    """Guards against running a request whose key could no longer be confirmed after the wait for a slot."""
    key_id, text = make_key()
    key = Key(key_id=key_id, key_hash=hash_secret(split_key(text)[1]), team="t", granted_by="o", granted_ms=0)
    harness.submitter.state.tables.keys[key_id] = key
    endpoint = await harness.add("slowly", slots=1, service="keyed")
    headers = {"Authorization": f"Bearer {text}"}
    first = asyncio.create_task(harness.call("keyed", headers=headers))
    await asyncio.sleep(0.05)
    second = asyncio.create_task(harness.call("keyed", headers=headers))
    await asyncio.sleep(0.05)
    harness.freshness.confirmed_at = 0.0
    assert (await first)[0] == 200
    status, body = await second
    assert (status, body["name"], body["work"]) == (503, "KEY_UNCONFIRMED", "not_run")
    assert sum(endpoint.ran.values()) == 1
