"""Endpoints that misbehave, in tables."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

NOT_RUN, MAY_HAVE_RUN = "not_run", "may_have_run"
FAULTS = [
    # way, status, name, work, may it have run
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


@pytest.mark.parametrize(("way", "status", "name", "work"), FAULTS, ids=[fault[0] for fault in FAULTS])
@pytest.mark.parametrize("service", ["plan", "once"])
async def test_fault_of_every_endpoint_is_answered_truthfully(bench, service, way, status, name, work):  # noqa: PLR0917
    """Guards against half or foreign answers and against "not run" for a request that ran."""
    endpoint = await bench.add(way, service=service)
    headers = {"Hyssopway-Timeout": "0.3"}
    got, body = await bench.call(service, key="k", data=b"body", headers=headers)
    assert (got, body["name"], body["work"]) == (status, name, work)
    if work == NOT_RUN:
        assert not endpoint.ran
    if service == "once":
        assert endpoint.ran["k"] <= 1


@pytest.mark.parametrize("way", [fault[0] for fault in FAULTS if fault[0] != "never"])
async def test_idempotent_request_is_tried_at_another_endpoint(bench, way):
    """Guards against a caller who sees the fault of one endpoint although another works."""
    await bench.add(way, slots=1)
    await bench.add("whole", slots=1)
    for _ in range(4):
        bench.gateway.budget.balance = 10.0
        assert await bench.call(data=b"body") == (200, b"body")


async def test_retries_keep_to_their_budget(bench):
    """Guards against retries that multiply the load when every endpoint fails."""
    endpoint = await bench.add("resets after reading")
    for _ in range(50):
        await bench.call(data=b"x")
    assert sum(endpoint.ran.values()) <= 52


async def test_http_client_sends_nothing_a_second_time(bench):
    """Guards against retries of the HTTP client itself, which know no budget and no idempotency."""
    endpoint = await bench.add("whole", slots=1)
    assert await bench.call(method="PUT", data=b"x") == (200, b"x")
    endpoint.way = "resets after reading"
    bench.gateway.budget.balance = 0.0
    assert (await bench.call(method="PUT", data=b"x"))[0] == 502
    assert sum(endpoint.ran.values()) == 2


@pytest.mark.parametrize("way", ["twice", "whole", "slowly"])
async def test_answers_are_whole_and_belong_to_their_request(bench, way):
    """Guards against an answer that reaches another caller over a kept connection."""
    await bench.add(way, slots=2)
    await bench.add("whole", slots=2)
    bodies = [f"body {number}".encode() * (number + 1) for number in range(40)]
    answers = await asyncio.gather(*(bench.call(data=body) for body in bodies))
    assert all(status != 200 or got == body for (status, got), body in zip(answers, bodies, strict=True))
    assert sum(status == 200 for status, _ in answers) >= 35


async def test_large_answer_is_streamed_whole(bench):
    """Guards against damage of answers that are not held in memory."""
    await bench.add("whole large")
    assert await bench.call() == (200, b"x" * 200 * 1024)


async def test_large_answer_cut_short_breaks_the_connection_to_the_caller(bench):
    """Guards against a caller who takes the beginning of an answer for all of it."""
    await bench.add("half large")
    with pytest.raises(aiohttp.ClientError):
        await bench.call()


async def test_large_body_is_streamed_whole(bench):
    """Guards against damage of bodies that are not held in memory."""
    await bench.add("whole")
    body = bytes(range(256)) * 900
    assert await bench.call(data=body) == (200, body)


async def test_caller_who_hangs_up_frees_its_slot_once_the_endpoint_knows(bench):
    """Guards against a lost slot, and against new work before the endpoint ended the old."""
    endpoint = await bench.add("slowly", slots=2)
    tasks = [asyncio.create_task(bench.call(data=b"x")) for _ in range(8)]
    await asyncio.sleep(0.05)
    assert endpoint.in_progress == 2
    for task in tasks[:2]:
        task.cancel()
    answers = await asyncio.gather(*tasks, return_exceptions=True)
    assert [answer[0] for answer in answers[2:]] == [200] * 6
    assert endpoint.most_in_progress == 2
    assert bench.gateway.open_requests == 0
    assert not bench.gateway.router.queues["production", "plan"].in_use
