"""Bursts of jobs while daemons and workers fail, checked against the runs on the workers."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import aiohttp
import pytest

from hyssopway_standins.fleet import EXAMPLES
from hyssopway_standins.fleet_stand_in import FleetStandIn
from hyssopway_standins.operator_client import OperatorClient

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from hyssopway_standins.processes import Deployment
    from hyssopway_standins.worker import WorkerStandIn

FINAL_STATUSES = {"done", "failed", "cancelled", "cannot_run"}
TEAMS = ("granite-hearth", "seacoast-volunteers")
POOLS = ("restock", "matching", "pickup", "dispatch")
JOBS = 300
CORES = 8


@pytest.mark.faults
async def test_burst_of_jobs_survives_kills_suspensions_and_restarts(
    deployment: Deployment,
    fleet_stand_in: FleetStandIn,
    operator: OperatorClient,
    session: aiohttp.ClientSession,
):
    """Guards against lost jobs, concurrent runs of one job and a team above its upper limit."""
    keys = {team: await operator.grant_key(team) for team in TEAMS}
    limits = await _read_limits(operator)
    burst = asyncio.create_task(_submit_all(deployment, session, keys=keys))
    await _inject_faults(deployment, fleet_stand_in)
    teams = await burst
    jobs = await _wait_until_ended(deployment, session, keys=keys)
    assert set(jobs) == set(teams)
    assert Counter(job["status"] for job in jobs.values()) == {"done": JOBS}
    intervals = _list_run_intervals(list(fleet_stand_in.workers.values()))
    for job_id, team in teams.items():
        assert _max_concurrent([interval for name, interval in intervals if name == job_id]) == 1, (
            job_id,
            team,
        )
    for team, limit in limits.items():
        assert (
            1 <= _max_concurrent([interval for name, interval in intervals if teams[name] == team]) <= limit
        )


@pytest.mark.faults
async def test_runs_of_a_suspended_home_are_restarted_and_never_overlap(
    deployment: Deployment, session: aiohttp.ClientSession
):
    """Guards against runs that wait forever for a lost home, and runs restarted while the old one is active."""
    home = deployment.daemons["portland-1"]
    url = deployment.daemons["nashua-1"].url
    operator = OperatorClient(session=session, url=url, token=deployment.operator_token)
    text = (EXAMPLES / "pantry" / "document.yaml").read_text()
    await operator.activate_document(text.replace("cut_off_run_s: 120", "cut_off_run_s: 5"))
    key = await operator.grant_key(TEAMS[0])
    fleet_stand_in = FleetStandIn.prepare(deployment)
    await fleet_stand_in.start()
    try:
        submit = (_submit(deployment, session, number=number, key=key, run_s=800) for number in range(32))
        ids = await asyncio.gather(*submit)
        await _wait_until(lambda: sum(len(w.tasks) for w in fleet_stand_in.workers.values()) == len(ids))
        home.send(signal.SIGSTOP)
        jobs = await _wait_until_ended(deployment, session, keys={TEAMS[0]: key}, count=len(ids))
        home.send(signal.SIGCONT)
        await asyncio.sleep(5)
    finally:
        await fleet_stand_in.stop()
    assert Counter(job["status"] for job in jobs.values()) == {"done": len(ids)}
    assert any("portland-1 out of contact" in line for job in jobs.values() for line in job["history"])
    intervals = _list_run_intervals(list(fleet_stand_in.workers.values()))
    for job_id in ids:
        assert _max_concurrent([interval for name, interval in intervals if name == job_id]) == 1


@pytest.mark.faults
async def test_jobs_run_in_other_zones_when_the_only_entry_vm_of_a_zone_is_killed(
    deployment: Deployment,
    fleet_stand_in: FleetStandIn,
    operator: OperatorClient,
    session: aiohttp.ClientSession,
):
    """Guards against jobs that remain placed on workers whose only entry VM is down."""
    key = await operator.grant_key(TEAMS[0])
    workers = list(fleet_stand_in.workers.values())
    zone_workers = [worker for worker in workers if worker.zone == "Portland"]
    await _wait_until(lambda: all(worker.lease_expires_at for worker in workers))
    before = await _submit_many(deployment, session, key=key, numbers=range(20))
    await _wait_until(lambda: any(worker.starts for worker in zone_workers))
    deployment.daemons["portland-1"].kill()
    killed_at = time.monotonic()
    after = await _submit_many(deployment, session, key=key, numbers=range(20, 60))
    accepted_at = time.monotonic()
    jobs = await _wait_until_ended(deployment, session, keys={TEAMS[0]: key}, ids=after)
    took_s = time.monotonic() - accepted_at
    assert Counter(jobs[job_id]["status"] for job_id in after) == {"done": len(after)}
    assert took_s < 6, took_s
    started_after_kill = [
        job_id for worker in zone_workers for at, job_id, _ in worker.starts if at > killed_at
    ]
    assert not set(started_after_kill) & set(after)
    intervals = _list_run_intervals(workers)
    for job_id in (*before, *after):
        assert _max_concurrent([interval for name, interval in intervals if name == job_id]) <= 1


async def _wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not condition():  # noqa: ASYNC110  bounded by the timeout
            await asyncio.sleep(0.05)


async def _inject_faults(deployment: Deployment, fleet_stand_in: FleetStandIn) -> None:
    daemons = deployment.daemons
    workers = {
        zone: [w for w in fleet_stand_in.workers.values() if w.zone == zone]
        for zone in ("Nashua", "Portland")
    }
    await asyncio.sleep(2)
    workers["Nashua"][0].stop()
    workers["Nashua"][1].isolate()
    daemons["worcester-1"].kill()
    await asyncio.sleep(2)
    workers["Nashua"][0].restart()
    daemons["worcester-1"].start()
    daemons["nashua-1"].send(signal.SIGSTOP)
    await asyncio.sleep(7)
    daemons["nashua-1"].send(signal.SIGCONT)
    workers["Nashua"][1].start()
    daemons["portland-1"].kill()
    await asyncio.sleep(1)
    daemons["portland-1"].start()
    daemons["providence-1"].send(signal.SIGSTOP)
    await asyncio.sleep(2)
    daemons["providence-1"].send(signal.SIGCONT)


async def _submit_all(
    deployment: Deployment, session: aiohttp.ClientSession, *, keys: dict[str, str]
) -> dict[str, str]:
    semaphore = asyncio.Semaphore(16)

    async def submit(number: int) -> tuple[str, str]:
        team = list(keys)[number % len(keys)]
        await asyncio.sleep(number * 0.03)
        async with semaphore:
            return await _submit(deployment, session, number=number, key=keys[team]), team

    return dict(await asyncio.gather(*(submit(number) for number in range(JOBS))))


async def _submit_many(
    deployment: Deployment, session: aiohttp.ClientSession, *, key: str, numbers: range
) -> list[str]:
    jobs = (_submit(deployment, session, number=number, key=key) for number in numbers)
    return list(await asyncio.gather(*jobs))


async def _submit(
    deployment: Deployment, session: aiohttp.ClientSession, *, number: int, key: str, run_s: float = 100
) -> str:
    urls = [daemon.url for daemon in deployment.daemons.values()]
    spec = {
        "task_kind": f"kind-{number % 5}",
        "pool": POOLS[number % len(POOLS)],
        "resources": {"cores": CORES, "memory_gb": 8},
        "run_s": run_s,
    }
    headers = {"Authorization": f"Bearer {key}", "Idempotency-Key": f"job-{number}"}
    deadline = time.monotonic() + 60
    attempt = number
    while time.monotonic() < deadline:
        attempt += 1
        url = f"{urls[attempt % len(urls)]}/v1/jobs"
        timeout = aiohttp.ClientTimeout(total=3)
        try:
            async with session.post(url, json=spec, headers=headers, timeout=timeout) as response:
                if response.status == 202:
                    return str((await response.json())["job_id"])
        except (aiohttp.ClientError, TimeoutError):
            pass
        await asyncio.sleep(0.1)
    raise TimeoutError(f"job {number} was not accepted")


async def _wait_until_ended(
    deployment: Deployment,
    session: aiohttp.ClientSession,
    *,
    keys: dict[str, str],
    count: int = JOBS,
    ids: Sequence[str] = (),
) -> dict[str, Any]:
    url = deployment.daemons["worcester-2"].url
    deadline = time.monotonic() + 60
    while True:
        jobs: dict[str, Any] = {}
        for key in keys.values():
            async with session.get(f"{url}/v1/jobs", headers={"Authorization": f"Bearer {key}"}) as response:
                body = json.loads(await response.read())
            jobs |= {job["job_id"]: job for job in body.get("jobs", [])}
        awaited = [jobs[job_id] for job_id in ids if job_id in jobs] if ids else list(jobs.values())
        unfinished = [job for job in awaited if job["status"] not in FINAL_STATUSES]
        if len(awaited) >= (len(ids) or count) and not unfinished:
            return jobs
        assert time.monotonic() < deadline, (
            len(jobs),
            [(j["status"], j["run"], j["history"]) for j in unfinished[:5]],
        )
        await asyncio.sleep(0.5)


async def _read_limits(operator: OperatorClient) -> dict[str, int]:
    teams = [item["team"] for item in (await operator.get("/v1/teams"))["teams"]]
    return {
        team["name"]: min(team["max_running"], int(team["limit"]["cores"]) // CORES)
        for team in teams
        if team["name"] in TEAMS
    }


def _list_run_intervals(workers: list[WorkerStandIn]) -> list[tuple[str, tuple[float, float]]]:
    intervals = []
    for worker in workers:
        ends = {(job_id, epoch): at for at, job_id, epoch in worker.ends}
        assert len(ends) == len(worker.ends), f"a run started twice on {worker.vm}"
        intervals += [
            (job_id, (at, ends.get((job_id, epoch), at + 1e9))) for at, job_id, epoch in worker.starts
        ]
    return intervals


def _max_concurrent(intervals: list[tuple[float, float]]) -> int:
    changes = sorted([(at, 1) for at, _ in intervals] + [(at, -1) for _, at in intervals])
    highest = current = 0
    for _, change in changes:
        current += change
        highest = max(highest, current)
    return highest
