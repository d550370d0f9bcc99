"""Calls of clients: one job, its state, its end."""

from __future__ import annotations

import pytest

JOB = {"specification": "x", "steps": [{"count": 1, "cpu": 100}]}
ID = "5c0e7a21d94b36f8"


async def test_call_before_the_first_manifest_is_told_to_come_back(bare):
    """Guards against a 404 for a queue that is only not known yet."""
    assert (await bare.call("POST", f"/p/{ID}", JOB))[0] == 503


async def test_job_from_hand_in_to_cancel(client):
    """Guards against a state that clients cannot follow."""
    assert (await client.call("GET", f"/p/{ID}"))[0] == 410
    assert (await client.call("POST", f"/p/{ID}", JOB))[0] == 200
    assert await client.call("GET", f"/p/{ID}") == (200, {"state": "queued"})
    assert await client.call("GET", "/p/") == (200, {"pending": 1})
    assert (await client.call("DELETE", f"/p/{ID}"))[0] == 200
    assert await client.call("GET", f"/p/{ID}") == (200, {"state": "cancelled"})
    assert await client.call("GET", "/p/") == (200, {"pending": 0})


async def test_second_hand_in_is_the_same_job(client):
    """Guards against a resent job that starts again after its end."""
    await client.call("POST", f"/p/{ID}", JOB)
    await client.call("DELETE", f"/p/{ID}")
    assert (await client.call("POST", f"/p/{ID}", JOB))[0] == 200
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
async def test_access(client, method, path, key, status):
    """Guards against work that is accepted for nobody, or refused though it is allowed."""
    assert (await client.call(method, path, JOB, key=key))[0] == status


async def test_job_belongs_to_the_team_whose_key_came_with_it(client):
    """Guards against a team that reads or cancels the work of another."""
    await client.call("POST", f"/p/{ID}", JOB)
    assert (await client.call("GET", f"/p/{ID}", key="key-2"))[0] == 410
    assert (await client.call("DELETE", f"/p/{ID}", key="key-2"))[0] == 410
    assert await client.call("GET", f"/p/{ID}") == (200, {"state": "queued"})


@pytest.mark.parametrize(
    ("body", "status"),
    [(b"{", 400), ({"steps": []}, 400), (b" " * 500, 413)],
    ids=["cut short", "no steps", "too long"],
)
async def test_bad_job_is_refused_and_never_known(client, body, status):
    """Guards against a job that cannot be read being accepted."""
    assert (await client.call("POST", f"/p/{ID}", body))[0] == status
    assert (await client.call("GET", f"/p/{ID}"))[0] == 410


async def test_withdrawn_key_and_route_are_refused_at_once(client):
    """Guards against a manifest that is in force only in part."""
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
