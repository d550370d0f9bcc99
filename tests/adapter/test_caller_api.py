"""Caller API: submitting, reading and cancelling jobs."""

from __future__ import annotations

import asyncio

import pytest

from hyssopway.dispatch import LeadershipLostError

JOB = {"specification": "x", "steps": [{"count": 1, "cpu": 100}]}
ID = "5c0e7a21d94b36f8"


async def test_call_before_the_first_manifest_is_answered_with_503(client_without_manifest):
    """Guards against a 404 while the queues are not known yet; callers would not retry it."""
    assert (await client_without_manifest.call("POST", f"/p/{ID}", JOB))[0] == 503


async def test_job_is_submitted_read_and_cancelled(client):
    """Guards against a wrong job state or queue length at any stage."""
    assert (await client.call("GET", f"/p/{ID}"))[0] == 410
    assert (await client.call("POST", f"/p/{ID}", JOB))[0] == 200
    assert await client.call("GET", f"/p/{ID}") == (200, {"state": "queued"})
    assert await client.call("GET", "/p/") == (200, {"pending": 1})
    assert (await client.call("DELETE", f"/p/{ID}"))[0] == 200
    assert await client.call("GET", f"/p/{ID}") == (200, {"state": "cancelled"})
    assert await client.call("GET", "/p/") == (200, {"pending": 0})


async def test_retried_submission_does_not_restart_the_job(client):
    """Guards against a retried submission that restarts a job after its end."""
    await client.call("POST", f"/p/{ID}", JOB)
    await client.call("DELETE", f"/p/{ID}")
    assert (await client.call("POST", f"/p/{ID}", JOB))[0] == 200
    assert await client.call("GET", f"/p/{ID}") == (200, {"state": "cancelled"})


async def test_cancelled_job_whose_submission_is_still_being_committed_does_not_run(client):
    """Guards against a job that starts although its cancelling was answered with 410 (UNASKED)."""
    leadership = client.controller.leadership
    leadership.confirms = False
    with pytest.raises(LeadershipLostError):
        await client.call("POST", f"/p/{ID}", JOB)
    cancelling = asyncio.create_task(client.call("DELETE", f"/p/{ID}"))
    await asyncio.sleep(0.01)
    leadership.apply_unconfirmed()
    assert (await cancelling)[0] == 200
    assert await client.call("GET", f"/p/{ID}") == (200, {"state": "cancelled"})


@pytest.mark.parametrize(
    ("method", "path", "key", "status"),
    [
        pytest.param("POST", f"/q/{ID}", "key-1", 404, id="no such queue"),
        pytest.param("POST", "/p/not-an-id", "key-1", 404, id="no id"),
        pytest.param("POST", f"/p/{ID}", "key-9", 401, id="unknown key"),
        pytest.param("POST", f"/p/{ID}", "", 401, id="no key"),
        pytest.param("POST", f"/p/open/{ID}", "", 200, id="queue open to all"),
        pytest.param("PATCH", f"/p/{ID}", "key-1", 405, id="unknown method"),
    ],
)
async def test_status_depends_on_key_and_queue(client, method, path, key, status):
    """Guards against accepting jobs without a valid key or queue, and against refusing allowed ones."""
    assert (await client.call(method, path, JOB, key=key))[0] == status


async def test_job_is_visible_only_to_its_team(client):
    """Guards against a team that reads or cancels a job of another team."""
    await client.call("POST", f"/p/{ID}", JOB)
    assert (await client.call("GET", f"/p/{ID}", key="key-2"))[0] == 410
    assert (await client.call("DELETE", f"/p/{ID}", key="key-2"))[0] == 410
    assert await client.call("GET", f"/p/{ID}") == (200, {"state": "queued"})


@pytest.mark.parametrize(
    ("body", "status"),
    [(b"{", 400), ({"steps": []}, 400), (b" " * 500, 413)],
    ids=["cut short", "no steps", "too long"],
)
async def test_invalid_job_is_refused_and_not_stored(client, body, status):
    """Guards against accepting an invalid or oversized job."""
    assert (await client.call("POST", f"/p/{ID}", body))[0] == status
    assert (await client.call("GET", f"/p/{ID}"))[0] == 410


async def test_removed_key_and_route_are_refused_at_once(client):
    """Guards against a manifest of which only a part becomes active."""
    manifest = {
        "version": 2,
        "routes": [
            {"name": "new", "host": "a.example", "path_prefix": "/n/", "timeout_ms": 9, "service": "vans"}
        ],
        "services": [{"name": "vans"}],
        "tenants": [{"name": "one", "api_keys": ["key-3"]}],
    }
    assert (await client.control("PUT", "config", manifest))[0] == 200
    assert (await client.call("POST", f"/p/{ID}", JOB))[0] == 404
    assert (await client.call("POST", f"/n/{ID}", JOB))[0] == 401
    assert (await client.call("POST", f"/n/{ID}", JOB, key="key-3"))[0] == 200
