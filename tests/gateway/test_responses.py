"""Responses of faulty endpoints and retries."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

NOT_RUN, MAY_HAVE_RUN = "not_run", "may_have_run"
# Time until the first requests reach an endpoint; on a busy machine it exceeds 50 ms.
START_TIMEOUT_S = 10.0
FAULTS = [
    # behaviour, status, name, work
    ("refuses", 502, "ENDPOINT_FAILED", NOT_RUN),
    ("resets before reading", 502, "ENDPOINT_FAILED", MAY_HAVE_RUN),
    ("resets after reading", 502, "ENDPOINT_FAILED", MAY_HAVE_RUN),
    ("half", 502, "ANSWER_INCOMPLETE", MAY_HAVE_RUN),
    ("half chunked", 502, "ANSWER_INCOMPLETE", MAY_HAVE_RUN),
    ("wrong id", 502, "ANSWER_MISMATCHED", MAY_HAVE_RUN),
    ("no id", 502, "ANSWER_MISMATCHED", MAY_HAVE_RUN),
    ("no length", 502, "ANSWER_INCOMPLETE", MAY_HAVE_RUN),
    ("did not run", 503, "ENDPOINT_REFUSED", NOT_RUN),
    ("never", 504, "DEADLINE_EXCEEDED", MAY_HAVE_RUN),
]


@pytest.mark.parametrize(("behaviour", "status", "name", "work"), FAULTS, ids=[fault[0] for fault in FAULTS])
@pytest.mark.parametrize("service", ["plan", "once"])
async def test_endpoint_fault_is_reported_to_caller(harness, service, behaviour, status, name, work):  # noqa: PLR0917
    """Guards against truncated or mismatched responses, and against "not run" for a request that ran."""
    endpoint = await harness.add(behaviour, service=service)
    headers = {"Hyssopway-Timeout": "0.3" if name == "DEADLINE_EXCEEDED" else "10"}
    received, body = await harness.call(service, key="k", data=b"body", headers=headers)
    assert (received, body["name"], body["work"]) == (status, name, work)
    if work == NOT_RUN:
        assert not endpoint.ran
    if service == "once":
        assert endpoint.ran["k"] <= 1


@pytest.mark.parametrize("behaviour", [fault[0] for fault in FAULTS if fault[0] != "never"])
async def test_idempotent_request_is_retried_at_another_endpoint(harness, behaviour):
    """Guards against a failure reported to the caller although another endpoint works."""
    await harness.add(behaviour, slots=1)
    await harness.add("whole", slots=1)
    for _ in range(4):
        harness.gateway.retry_budget.balance = 10.0
        assert await harness.call(data=b"body") == (200, b"body")


async def test_request_that_breaks_its_endpoints_reaches_two_at_most(harness):
    """Guards against one request that crashes endpoint after endpoint because each failure is retried elsewhere."""
    endpoints = [await harness.add("resets after reading", slots=1) for _ in range(5)]
    harness.gateway.retry_budget.balance = 10.0
    status, body = await harness.call(data=b"body")
    assert (status, body["work"]) == (502, MAY_HAVE_RUN)
    assert sum(sum(endpoint.ran.values()) for endpoint in endpoints) == 2


async def test_retries_are_limited_by_budget(harness):
    """Guards against retries that multiply the load when all endpoints fail."""
    endpoint = await harness.add("resets after reading")
    for _ in range(50):
        await harness.call(data=b"x")
    assert sum(endpoint.ran.values()) <= 52


async def test_http_client_does_not_retry(harness):
    """Guards against retries by the HTTP client itself, which ignore retry budget and idempotency."""
    endpoint = await harness.add("whole", slots=1)
    assert await harness.call(method="PUT", data=b"x") == (200, b"x")
    endpoint.behaviour = "resets after reading"
    harness.gateway.retry_budget.balance = 0.0
    assert (await harness.call(method="PUT", data=b"x"))[0] == 502
    assert sum(endpoint.ran.values()) == 2


@pytest.mark.parametrize("behaviour", ["twice", "whole", "slowly"])
async def test_responses_are_complete_and_match_their_requests(harness, behaviour):
    """Guards against a response that reaches another caller over a kept-alive connection."""
    await harness.add(behaviour, slots=2)
    await harness.add("whole", slots=2)
    bodies = [f"body {number}".encode() * (number + 1) for number in range(40)]
    responses = await asyncio.gather(*(harness.call(data=body) for body in bodies))
    assert all(
        status != 200 or received == body for (status, received), body in zip(responses, bodies, strict=True)
    )
    assert sum(status == 200 for status, _ in responses) >= 35


async def test_large_response_is_streamed_completely(harness):
    """Guards against corruption of responses that are streamed."""
    await harness.add("whole large")
    assert await harness.call() == (200, b"x" * 200 * 1024)


async def test_truncated_large_response_breaks_caller_connection(harness):
    """Guards against a caller that takes a truncated response for a complete one."""
    await harness.add("half large")
    with pytest.raises(aiohttp.ClientError):
        await harness.call()


async def test_large_body_is_streamed_completely(harness):
    """Guards against corruption of request bodies that are streamed."""
    await harness.add("whole")
    body = bytes(range(256)) * 900
    assert await harness.call(data=body) == (200, body)


async def test_caller_disconnect_frees_slot_after_endpoint_stops(harness):
    """Guards against a slot leak, and against a new request before the endpoint has ended the old one."""
    endpoint = await harness.add("slowly", slots=2)
    tasks = [asyncio.create_task(harness.call(data=b"x")) for _ in range(8)]
    async with asyncio.timeout(START_TIMEOUT_S):
        while endpoint.in_progress < 2:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.05)
    assert endpoint.in_progress == 2
    for task in tasks[:2]:
        task.cancel()
    responses = await asyncio.gather(*tasks, return_exceptions=True)
    assert [response[0] for response in responses[2:]] == [200] * 6
    assert endpoint.max_in_progress == 2
    assert harness.gateway.open_requests == 0
    assert not harness.gateway.router.queues["production", "plan"].in_use
