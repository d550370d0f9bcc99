"""Jobs that callers submit."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .invariant_checker import Job

PATH_PREFIXES = {"plans": "/p/", "peeks": "/peeks/", "scans": "/scans/", "hauls": "/hauls/"}
# Additional fields of the steps of some jobs. Their tasks are spread over the VMs, so that both kinds meet there.
PLAN_KINDS: dict[int, dict[str, Any]] = {
    0: {"image": "desk", "target_ms": 100, "anti_affinity": 1},
    1: {"image": "batch", "fills": True, "anti_affinity": 1},
}
# One job in so many crashes each VM that starts its first task.
JOBS_PER_DEADLY_JOB = 40
# Small enough that several copies of slow runs fit their share of a pool.
SPREAD_CPU_MILLIS = 200
SPREAD_DURATION_S = 0.6
# One spread job in so many has tasks that last until the job is cancelled.
SPREAD_JOBS_PER_LASTING_JOB = 7
LASTING_DURATION_S = 5.0
# Share of the jobs whose tasks are spread and may have copies; copies are not checked for TWICE.
SPREAD_COPY_SHARE = 0.85
# Long tasks run on while their VM is cut off and leaders change; short ones keep orders on their way to each VM.
HAUL_CPU_MILLIS = 400
LONG_HAUL_S = 10.0
SHORT_HAUL_S = 0.8


@dataclass(frozen=True, slots=True, kw_only=True)
class Submission:
    """A job to submit.

    Attributes:
        job: The job as known to its caller.
        body: Body of the request.
        cancel_after_s: Seconds after which the caller cancels the job until that is acknowledged; 0 to let it end.
    """

    job: Job
    body: dict[str, Any]
    cancel_after_s: float = 0.0


def make_plan(rng: random.Random, job_id: str) -> Submission:
    """Returns a job of one to three steps for the queue `plans`."""
    steps = tuple(rng.choice((1, 1, 2, 4)) for _ in range(rng.choice((1, 1, 2, 3))))
    job = Job(steps=steps, duplicates=rng.random() < 0.2, queue="plans")
    duration_s = rng.choice((0.1, 0.3, 0.8))
    # Chosen by the ID, so that the other jobs of a seed stay the same.
    kind = PLAN_KINDS.get(int(job_id, 16) % 4, {})
    job.spread_limit = kind.get("anti_affinity", 0)
    suffix = " deadly" if int(job_id, 16) % JOBS_PER_DEADLY_JOB == 1 else ""
    cpu_millis = 0 if "fills" in kind else 1000
    fields = {"cpu": 1000, "memory_request_mb": 100, "estimated_ms": round(duration_s * 1000)}
    fields |= {"allow_duplicates": True} if job.duplicates else {}
    body = _make_body(job, specification=f"{cpu_millis} {duration_s}{suffix}", fields=fields | kind)
    return Submission(job=job, body=body)


def make_spread_job(rng: random.Random, job_id: str) -> Submission:
    """Returns a job whose tasks are spread over the few VMs of the pool of `peeks` or `scans`."""
    submission = _make_short_job(rng)
    # Chosen by the ID, so that the other jobs of a seed stay the same.
    is_lasting = int(job_id, 16) % SPREAD_JOBS_PER_LASTING_JOB == 0
    return _make_lasting_job(random.Random(job_id)) if is_lasting else submission


def _make_lasting_job(rng: random.Random) -> Submission:
    job = Job(
        steps=(rng.choice((2, 3)),),
        duplicates=False,
        lasts=True,
        queue=rng.choice(("peeks", "scans")),
        spread_limit=1,
    )
    fields = {"cpu": SPREAD_CPU_MILLIS, "memory_request_mb": 100, "anti_affinity": job.spread_limit}
    fields |= {"estimated_ms": round(LASTING_DURATION_S * 1000), "long_running": True, "may_miss": 1}
    body = _make_body(job, specification=f"{SPREAD_CPU_MILLIS} {LASTING_DURATION_S} lasting", fields=fields)
    return Submission(job=job, body=body, cancel_after_s=rng.uniform(3.0, 12.0))


def _make_short_job(rng: random.Random) -> Submission:
    # Few tasks wait for long: a pool in which tasks wait gets no copies of slow runs.
    label = rng.choice(("", "", "", "a"))
    job = Job(
        steps=tuple(rng.choice((2, 3) if label else (2, 3, 4, 6)) for _ in range(rng.choice((1, 1, 2)))),
        duplicates=rng.random() < SPREAD_COPY_SHARE,
        queue=rng.choice(("peeks", "peeks", "scans")),
        spread_limit=rng.choice((1, 1, 1, 2)),
        label=label,
    )
    fields = {"cpu": SPREAD_CPU_MILLIS, "memory_request_mb": 100, "anti_affinity": job.spread_limit}
    fields |= {"estimated_ms": round(SPREAD_DURATION_S * 1000)}
    fields |= {"allow_duplicates": True} if job.duplicates else {}
    fields |= {"requirements": job.label} if job.label else {}
    body = _make_body(job, specification=f"{SPREAD_CPU_MILLIS} {SPREAD_DURATION_S}", fields=fields)
    return Submission(job=job, body=body)


def make_long_haul(rng: random.Random, _job_id: str) -> Submission:
    """Returns a job of one step of long tasks, with a spread limit in most cases."""
    return _make_haul(rng, steps=(rng.choice((1, 2, 3)),), duration_s=LONG_HAUL_S, suffix=" long")


def make_short_haul(rng: random.Random, _job_id: str) -> Submission:
    """Returns a job of short tasks, with a spread limit in most cases."""
    steps = tuple(rng.choice((1, 2, 3)) for _ in range(rng.choice((1, 2))))
    return _make_haul(rng, steps=steps, duration_s=SHORT_HAUL_S, suffix="")


def _make_haul(rng: random.Random, *, steps: tuple[int, ...], duration_s: float, suffix: str) -> Submission:
    job = Job(steps=steps, duplicates=False, queue="hauls", spread_limit=rng.choice((0, 1, 1, 2)))
    fields = {"cpu": HAUL_CPU_MILLIS, "memory_request_mb": 100, "estimated_ms": round(duration_s * 1000)}
    fields |= {"anti_affinity": job.spread_limit} if job.spread_limit else {}
    return Submission(
        job=job,
        body=_make_body(job, specification=f"{HAUL_CPU_MILLIS} {duration_s}{suffix}", fields=fields),
    )


def _make_body(job: Job, *, specification: str, fields: dict[str, Any]) -> dict[str, Any]:
    steps = [
        {"count": count, **({"after": [number - 1]} if number else {}), **fields}
        for number, count in enumerate(job.steps)
    ]
    return {"specification": specification, "steps": steps}


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Jobs of one kind.

    Attributes:
        name: Name of the random source.
        make_job: Returns the job of an ID.
        rate_per_s: Mean number of jobs per second.
        rest_s: Seconds at the end of the run without new jobs, so that long tasks end in time.
    """

    name: str
    make_job: Callable[[random.Random, str], Submission]
    rate_per_s: float
    rest_s: float = 0.0


PLAN_LOAD = Load(name="callers", make_job=make_plan, rate_per_s=6.0)
SPREAD_LOAD = Load(name="spread callers", make_job=make_spread_job, rate_per_s=3.0)
HAUL_LOADS = (
    Load(name="long hauls", make_job=make_long_haul, rate_per_s=0.8, rest_s=10.0),
    Load(name="short hauls", make_job=make_short_haul, rate_per_s=3.0),
)


__all__ = ["HAUL_LOADS", "PATH_PREFIXES", "PLAN_LOAD", "SPREAD_LOAD", "Submission"]
