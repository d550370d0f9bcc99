"""Refusals of jobs as callers see them."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from hyssopway.dispatch import LeadershipLostError
from workflow.conftest import make_vm

# One VM of 8 cores; a job of 4 tasks of 2 cores fills it for 1 s. The limit of a job is 3 x (1.6 s + 0.6 s).
ROUTE = {
    "name": "plans",
    "host": "a.example",
    "path_prefix": "/p/",
    "timeout_ms": 3000,
    "service": "vans",
    "priority": 1,
    "stretch": 1.6,
    "target_latency_ms": 600,
}
URGENT = ROUTE | {"name": "urgent", "path_prefix": "/u/", "priority": 0}
MANIFEST = {
    "version": 1,
    "routes": [ROUTE, URGENT],
    "services": [{"name": "vans"}],
    "tenants": [
        {"name": "one", "api_keys": ["key-1"], "upper_limit": {"cpu": 6000}},
        {"name": "two", "api_keys": ["key-2"]},
    ],
}
STEP = {"count": 4, "cpu": 2000, "estimated_ms": 1000}
JOB = {"steps": [STEP]}
# The longest backlog in seconds that the margin allows, beside the job itself.
LIMIT_S = 1.2 * 3 * (1.6 + 0.6)


def path(number, prefix="p"):
    return f"/{prefix}/{number:016x}"


@pytest.fixture
async def full(client_without_manifest):
    """A warmed-up leader whose only VM has accepted as much work of team two as it takes."""
    client = client_without_manifest
    await client.control("PUT", "config", MANIFEST)
    await client.controller.leadership.propose(make_vm("vm-1"))
    client.controller.links["vm-1"] = SimpleNamespace(has_acked_term=True)
    client.controller.leadership.now += 10
    client.count = 0
    while (await client.call("POST", path(client.count), JOB, key="key-2"))[0] == 200:
        client.count += 1
        assert client.count < 100
    return client


async def test_job_beyond_the_backlog_is_refused_and_not_stored(full):
    """Guards against a job that is held until its deadline has passed, and against a refused job that runs."""
    assert full.count in {int(LIMIT_S), int(LIMIT_S) + 1}
    workflows = full.controller.leadership.state.tables.workflows
    assert len(workflows) == full.count
    status, body = await full.call("POST", path(full.count), JOB, key="key-2")
    assert status == 429
    assert "not run" in body["error"]
    assert 1 <= int(full.headers["Retry-After"]) <= 30
    assert (await full.call("GET", path(full.count), key="key-2"))[0] == 410
    assert full.controller.counters["refused_queue_plans"] == 2
    assert full.controller.counters["refused_team_two"] == 2


async def test_lost_answer_to_an_accepted_job_is_repeated(full):
    """Guards against a refusal of a job that was accepted: its caller would take it as not run."""
    count = len(full.controller.leadership.state.tables.workflows)
    assert (await full.call("POST", path(0), JOB, key="key-2"))[0] == 200
    assert len(full.controller.leadership.state.tables.workflows) == count


@pytest.mark.parametrize(
    ("prefix", "step"),
    [
        pytest.param("p", {"long_running": True}, id="long-running"),
        pytest.param("p", {"fills": True}, id="best-effort"),
        pytest.param("u", {}, id="urgent queue with room for its own work"),
    ],
)
async def test_work_that_load_does_not_hold_up_is_accepted(full, prefix, step):
    """Guards against refusals for load of work that is not subject to it."""
    job = {"steps": [STEP | step]}
    assert (await full.call("POST", path(99, prefix), job, key="key-2"))[0] == 200


async def test_scheduled_job_is_accepted(full):
    """Guards against a refusal of work that is due later."""
    job = JOB | {"repeat_count": 2, "start_at_ms": 10**15, "interval_ms": 1000}
    assert (await full.call("POST", path(99), job, key="key-2"))[0] == 200


async def test_other_team_is_accepted_beside_the_backlog(full):
    """Guards against refusals of a team within its share because of the backlog of another one."""
    assert (await full.call("POST", path(99), JOB, key="key-1"))[0] == 200


async def test_cancellations_make_room_at_once(full):
    """Guards against refusals because of work that has been cancelled since the backlog was collected."""
    for number in range(4):
        assert (await full.call("DELETE", path(number), key="key-2"))[0] == 200
    assert (await full.call("POST", path(99), JOB, key="key-2"))[0] == 200


async def test_leader_killed_after_a_refusal_decides_anew(full):
    """Guards against a refusal that outlives its leader, and against refusals by one that knows no VM yet."""
    leadership = full.controller.leadership
    full.controller.begin_term()
    assert (await full.call("POST", path(98), JOB, key="key-2"))[0] == 200
    leadership.now += 3
    full.controller.begin_term()
    leadership.now += 3
    assert (await full.call("POST", path(99), JOB, key="key-2"))[0] == 429
    assert f"{99:016x}" not in leadership.state.tables.workflows


async def test_resent_job_is_not_refused_while_its_acceptance_is_under_way(full):
    """Guards against a refusal of a job whose first request was accepted and is applied later."""
    await full.call("DELETE", path(0), key="key-2")
    leadership = full.controller.leadership
    propose, release = leadership.propose, asyncio.Event()

    async def propose_slowly(command):
        await release.wait()
        await propose(command)

    leadership.propose = propose_slowly
    first = asyncio.create_task(full.call("POST", path(99), JOB, key="key-2"))
    await asyncio.sleep(0)
    again = asyncio.create_task(full.call("POST", path(99), JOB, key="key-2"))
    assert (await full.call("POST", path(98), JOB, key="key-2"))[0] == 429
    release.set()
    assert [(await task)[0] for task in (first, again)] == [200, 200]


async def test_resent_job_is_not_refused_after_an_unconfirmed_acceptance(full):
    """Guards against a refusal of a job whose acceptance got no confirmation and may still be committed."""
    await full.call("DELETE", path(0), key="key-2")
    leadership = full.controller.leadership
    propose = leadership.propose

    async def fail(_):
        raise LeadershipLostError("no quorum")

    leadership.propose = fail
    with pytest.raises(LeadershipLostError):
        await full.call("POST", path(99), JOB, key="key-2")
    leadership.propose = propose
    assert (await full.call("POST", path(98), JOB, key="key-2"))[0] == 429
    assert (await full.call("POST", path(99), JOB, key="key-2"))[0] == 200


@pytest.mark.parametrize(
    ("step", "status"),
    [
        pytest.param({"cpu": 6000, "count": 9}, 200, id="task at the limit"),
        pytest.param({"cpu": 6001, "count": 1}, 400, id="task above it"),
        pytest.param({"cpu": 3001, "count": 2, "gang_scheduled": True}, 400, id="gang above it"),
        pytest.param({"cpu": 9000, "count": 1, "long_running": True}, 400, id="long-running task above it"),
    ],
)
async def test_job_above_the_upper_limit_of_its_team_is_refused(full, step, status):
    """Guards against a job that is accepted and waits forever."""
    assert (await full.call("POST", path(99, "u"), {"steps": [step]}, key="key-1"))[0] == status
    if status == 400:
        assert "Retry-After" not in full.headers


async def test_queue_without_an_objective_refuses_nothing(client):
    """Guards against refusals in deployments whose configuration names no objective."""
    await client.controller.leadership.propose(make_vm("vm-1"))
    client.controller.links["vm-1"] = SimpleNamespace(has_acked_term=True)
    client.controller.leadership.now += 10
    for number in range(50):
        assert (await client.call("POST", path(number), JOB))[0] == 200
