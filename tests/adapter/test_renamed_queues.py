"""Jobs whose queue or organisation gets another name, or another queue its name.

Callers know a queue by its host and path prefix, and their organisation by the key that they send.
"""

from __future__ import annotations

import pytest

from adapter.conftest import MANIFEST
from adapter.test_caller_api import ID, JOB

PLANS, OPEN = MANIFEST["routes"]
ONE, TWO = MANIFEST["tenants"]


def manifest(*, version, routes=(PLANS, OPEN), services=("vans",), tenants=(ONE, TWO)):
    return {
        "version": version,
        "routes": list(routes),
        "services": [{"name": name} for name in services],
        "tenants": list(tenants),
    }


RENAMED = PLANS | {"name": "plans-b"}
CHANGES = {
    "the route has another name": [{"routes": [RENAMED, OPEN]}],
    "two routes exchange their names": [{"routes": [PLANS | {"name": "open"}, OPEN | {"name": "plans"}]}],
    "its name moves to another prefix": [{"routes": [RENAMED, PLANS | {"path_prefix": "/n/"}]}],
    "its name moves to another host": [{"routes": [RENAMED, PLANS | {"host": "b.example"}]}],
    "the route leaves and comes back": [{"routes": [OPEN]}, {}],
    "the route leaves and comes back under another name": [{"routes": [OPEN]}, {"routes": [RENAMED, OPEN]}],
    "the route leads to another service": [
        {"routes": [RENAMED | {"service": "cars"}, OPEN], "services": ["vans", "cars"]}
    ],
    "the organisation has another name": [{"tenants": [ONE | {"name": "first"}, TWO]}],
    "two organisations exchange their names": [{"tenants": [ONE | {"name": "two"}, TWO | {"name": "one"}]}],
    "the organisation has another name and one more key": [
        {"tenants": [{"name": "first", "api_keys": ["key-4", "key-1"]}, TWO]}
    ],
    "the organisation leaves and comes back under another name": [
        {"tenants": [TWO]},
        {"tenants": [TWO, ONE | {"name": "first"}]},
    ],
    "another organisation gets its former name": [
        {"tenants": [ONE | {"name": "first"}, TWO, {"name": "one", "api_keys": ["key-5"]}]}
    ],
}


@pytest.mark.parametrize("changes", CHANGES.values(), ids=CHANGES.keys())
async def test_accepted_job_is_not_forgotten_as_names_change(client, changes):
    """Guards against a 410 for a job at work, a 409 for its repeated POST, and a cancel that is refused (LOST)."""
    assert (await client.call("POST", f"/p/{ID}", JOB))[0] == 200
    for number, change in enumerate(changes):
        assert (await client.control("PUT", "config", manifest(version=2 + number, **change)))[0] == 200
    assert await client.call("GET", f"/p/{ID}") == (200, {"state": "queued"})
    assert await client.call("GET", "/p/") == (200, {"pending": 1})
    assert (await client.call("POST", f"/p/{ID}", JOB))[0] == 200
    assert (await client.call("GET", f"/p/{ID}", key="key-2"))[0] == 410
    assert (await client.call("DELETE", f"/p/{ID}"))[0] == 200
    assert await client.call("GET", f"/p/{ID}") == (200, {"state": "cancelled"})


@pytest.mark.parametrize(
    "prefix", ["/n/", "/p/q/"], ids=["its route moved to another prefix", "its prefix got longer"]
)
async def test_job_is_not_shown_under_a_url_that_it_was_never_submitted_to(client, prefix):
    """Guards against a name that moves to another prefix and takes jobs along that callers know by the former URL."""
    await client.call("POST", f"/p/{ID}", JOB)
    moved = manifest(version=2, routes=[PLANS | {"path_prefix": prefix}])
    assert (await client.control("PUT", "config", moved))[0] == 200
    assert (await client.call("GET", f"{prefix}{ID}"))[0] == 410
    assert await client.call("GET", prefix) == (200, {"pending": 0})
    assert (await client.call("GET", f"/p/{ID}"))[0] == 404


async def test_jobs_of_two_organisations_that_become_one_are_not_forgotten(client):
    """Guards against a 410 for the jobs of the second one, whose key the joint organisation has as well (LOST)."""
    other = ID[::-1]
    await client.call("POST", f"/p/{ID}", JOB, key="key-1")
    await client.call("POST", f"/p/{other}", JOB, key="key-2")
    joint = manifest(version=2, tenants=[{"name": "joint", "api_keys": ["key-1", "key-2"]}])
    assert (await client.control("PUT", "config", joint))[0] == 200
    for job in (ID, other):
        for key in ("key-1", "key-2"):
            assert await client.call("GET", f"/p/{job}", key=key) == (200, {"state": "queued"})
    assert (await client.call("DELETE", f"/p/{other}"))[0] == 200


async def test_job_without_a_key_is_not_forgotten_as_its_queue_asks_for_keys(client):
    """Guards against a 410 for a job of a queue that was open to all when it was submitted (LOST)."""
    assert (await client.call("POST", f"/p/open/{ID}", JOB, key=""))[0] == 200
    keyed = manifest(version=2, routes=[PLANS, OPEN | {"public": False}])
    assert (await client.control("PUT", "config", keyed))[0] == 200
    assert await client.call("GET", f"/p/open/{ID}", key="key-2") == (200, {"state": "queued"})
