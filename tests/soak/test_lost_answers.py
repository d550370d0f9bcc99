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
# How long a round may wait for each kind of answer before the test fails, in seconds.
MAX_WAIT_S = 30.0
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


class Round:
    """What callers were answered in one round.

    Attributes:
        accepted: Number of jobs that were accepted.
        is_withdrawn: Whether the withdrawal of the key has been acknowledged.
        refused: Number of jobs that were refused for their key since then.
    """

    def __init__(self):
        self.accepted = 0
        self.is_withdrawn = False
        self.refused = 0

    def record(self, status, *, was_withdrawn):
        self.accepted += status == 200
        self.refused += status == 401 and was_withdrawn


async def submit(run, *, current, session, rng):
    job_id = f"{rng.getrandbits(64):016x}"
    job = run.checker.jobs[job_id] = Job(steps=(1,), duplicates=False)
    headers = HEADERS | {"Authorization": f"Bearer {GUEST_KEY}"}
    status, was_withdrawn = 0, current.is_withdrawn
    with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
        url = f"http://{rng.choice(run.entries).http}/p/{job_id}"
        async with session.post(url, json=BODY, headers=headers) as response:
            await response.read()
            status = response.status
    job.refused = status in REFUSALS
    job.accepted = status == 200
    current.record(status, was_withdrawn=was_withdrawn)


async def submit_until_refused(run, *, current, session, rng):
    """Submits jobs at random intervals until one is refused since the key is withdrawn."""
    submissions = []
    started = time.monotonic()
    while not current.refused:
        assert time.monotonic() - started < MAX_WAIT_S, "no job was refused for its key"
        submissions.append(asyncio.create_task(submit(run, current=current, session=session, rng=rng)))
        await asyncio.sleep(rng.expovariate(JOBS_PER_S))
    await asyncio.gather(*submissions)


async def wait_for_accepted_jobs(current):
    """Waits until jobs have been accepted, and some time more."""
    started = time.monotonic()
    while not current.accepted:
        assert time.monotonic() - started < MAX_WAIT_S, "no job was accepted"
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.3)


@pytest.mark.faults
async def test_job_that_ran_is_not_reported_as_refused_when_its_leader_is_killed(tmp_path):
    """Guards against a 401 for a job that the killed leader had stored, and that its successor runs (REFUSED)."""
    run = SoakRun(seed=171, folder=tmp_path, has_spread_tasks=False)
    rng = random.Random(run.seed)
    try:
        await run._start()
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=4.0)) as session:
            for _ in range(ROUNDS):
                await run._put_config(grants_guest=True)
                await asyncio.sleep(0.5)
                current = Round()
                submitting = asyncio.create_task(
                    submit_until_refused(run, current=current, session=session, rng=rng)
                )
                await wait_for_accepted_jobs(current)
                leader = find_leader(run)
                leader.kill()
                await run._put_config(grants_guest=False)
                assert run.checker.broken == []
                current.is_withdrawn = True
                await submitting
                leader.start()
                await asyncio.sleep(2.0)
    finally:
        await run._stop()
    run.checker.check_refused_jobs()
    assert run.checker.broken == []
