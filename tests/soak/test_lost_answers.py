"""Leaders that are killed while jobs are handed in with a key that is withdrawn at the same moment."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time

import aiohttp
import pytest

from .callers import GUEST_KEY, HEADERS, REFUSALS
from .invariant_checker import Job
from .soak_run import SoakRun

ROUNDS = 6
JOBS_PER_S = 120.0
LEADER_FOUND = 7020
BODY = {
    "specification": "1000 0.3",
    "steps": [{"count": 1, "cpu": 1000, "memory_request_mb": 100, "estimated_ms": 300}],
}


def find_leader(run):
    """Returns the control node that an entry named as the leader last."""
    output = run.folder / run.entries[0].name / "output.jsonl"
    lines = [json.loads(line) for line in output.read_text().splitlines() if line.endswith("}")]
    host = [line["leader"] for line in lines if line["event"] == LEADER_FOUND][-1]
    return next(node for node in run.controls if node.host == host)


async def submit(run, *, session, rng):
    job_id = f"{rng.getrandbits(64):016x}"
    job = run.checker.jobs[job_id] = Job(steps=(1,), duplicates=False)
    headers = HEADERS | {"Authorization": f"Bearer {GUEST_KEY}"}
    status = 0
    with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
        url = f"http://{rng.choice(run.entries).http}/p/{job_id}"
        async with session.post(url, json=BODY, headers=headers) as response:
            await response.read()
            status = response.status
    job.refused = status in REFUSALS
    job.accepted = status == 200
    return status


async def submit_for(run, *, seconds, session, rng):
    """Submits jobs at random intervals and returns the statuses."""
    submissions = []
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        submissions.append(asyncio.create_task(submit(run, session=session, rng=rng)))
        await asyncio.sleep(rng.expovariate(JOBS_PER_S))
    return await asyncio.gather(*submissions)


@pytest.mark.faults
async def test_job_that_ran_is_not_reported_as_refused_when_its_leader_is_killed(tmp_path):
    """Guards against a 401 for a job that the killed leader had stored, and that its successor runs (REFUSED)."""
    run = SoakRun(seed=171, folder=tmp_path, has_spread_tasks=False)
    rng = random.Random(run.seed)
    statuses = set()
    try:
        await run._start()
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=4.0)) as session:
            for _ in range(ROUNDS):
                await run._put_config(grants_guest=True)
                await asyncio.sleep(0.5)
                submitting = asyncio.create_task(submit_for(run, seconds=1.2, session=session, rng=rng))
                await asyncio.sleep(0.5)
                leader = find_leader(run)
                leader.kill()
                await run._put_config(grants_guest=False)
                statuses.update(await submitting)
                leader.start()
                await asyncio.sleep(2.0)
    finally:
        await run._stop()
    run.checker.check_refused_jobs()
    assert run.checker.broken == []
    assert {200, 401} <= statuses
