"""Measures scheduling of jobs against a first-fit baseline.

Shares, failing workers and the cost of decisions and cancellations are measured in a simulation in one process. The
start of urgent work is measured with daemon processes, at the workers.
"""

from __future__ import annotations

import asyncio
import gc
import random
import tempfile
import time
from functools import partial
from math import log
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
from loguru import logger

from hyssopway.control.command import CancelJob, CancelJobs, StartRun
from hyssopway.control.record import RunOutcome, VmState
from hyssopway.document import Resources
from hyssopway.scheduling.fair_shares import fair_shares
from hyssopway_standins.fleet import EXAMPLES
from hyssopway_standins.fleet_stand_in import FleetStandIn
from hyssopway_standins.operator_client import OperatorClient
from hyssopway_standins.processes import Deployment

from .first_fit import FirstFitScheduler
from .job_simulation import CAPACITY, STEP_S, JobSimulation
from .measurement import Measurement, Series

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.control.record import Job
    from hyssopway.job import JobScheduler
    from hyssopway_standins.worker import WorkerStandIn

SIZES = (16, 1_000, 21_000)
WEIGHTS = {"one": 1.0, "two": 2.0, "three": 3.0, "four": 4.0}
EIGHT_CORES = Resources(cores=8, memory_gb=8)
TINY = Resources(cores=0.1, memory_gb=0.2)


def measure(*, seed: int, quick: bool) -> Measurement:
    """Measures shares, decisions, failing workers, cancellations and starts."""
    measurement = Measurement(area="jobs")
    logger.disable("hyssopway.event")
    asyncio.run(_measure_shares(measurement, seed=seed))
    _measure_decisions(measurement, sizes=SIZES[:2] if quick else SIZES)
    asyncio.run(_measure_bad_worker(measurement, seed=seed))
    _measure_cancellations(measurement, count=2_000 if quick else 10_000)
    asyncio.run(_measure_urgent(measurement, count=2 if quick else 8))
    return measurement


async def _measure_shares(measurement: Measurement, *, seed: int) -> None:
    for name in ("scheduler", "baseline"):
        simulation = JobSimulation(weights=WEIGHTS, run_s=_random_times(seed, 2, 6))
        simulation.prepare(vms=32)
        rounds: JobScheduler | FirstFitScheduler = (
            simulation.scheduler() if name == "scheduler" else FirstFitScheduler(simulation=simulation)
        )
        points = []
        for step in range(round(30 / STEP_S)):
            # Team four starts after the other teams have filled the fleet.
            asking = [team for team in WEIGHTS if team != "four" or simulation.now >= 8]
            _keep_jobs_pending(simulation, teams=asking, step=step)
            await rounds.schedule_once()
            simulation.step()
            points.append((simulation.now, _share_distance(simulation)))
        late = [distance for at, distance in points if 10 <= at <= 30]
        late_four = [distance for at, distance in points if at >= 18]
        measurement.figures[f"share_distance_mean_after_10_s_{name}_%"] = 100 * sum(late) / len(late)
        measurement.figures[f"share_distance_worst_after_10_s_{name}_%"] = 100 * max(late)
        measurement.figures[f"share_distance_mean_after_18_s_{name}_%"] = (
            100 * sum(late_four) / len(late_four)
        )
        measurement.series.append(
            Series(name=name, x_label="time, s", y_label="distance, part", points=points)
        )


def _random_times(seed: int, least: float, most: float) -> Callable[[Job], float]:
    rng = random.Random(seed)
    return lambda _: rng.uniform(least, most)


def _keep_jobs_pending(simulation: JobSimulation, *, teams: list[str], step: int) -> None:
    """Keeps 64 jobs of each team pending, which is a quarter of the fleet."""
    waiting = dict.fromkeys(teams, 0)
    for job in simulation.replica.state.indexes.pending.values():
        waiting[job.team] = waiting.get(job.team, 0) + 1
    for team in teams:
        for number in range(64 - waiting[team]):
            simulation.accept(f"{team}-{step}-{number}", team=team, need=EIGHT_CORES)


def _share_distance(simulation: JobSimulation) -> float:
    """Returns half the sum of the differences between the actual and the fair shares."""
    state = simulation.replica.state
    vms = len(state.tables.vms)
    total = Resources(cores=CAPACITY.cores * vms, memory_gb=CAPACITY.memory_gb * vms)
    held = {team: usage.resources.dominant_share(total) for team, usage in state.indexes.usage.items()}
    demands = dict(held)
    for job in state.indexes.pending.values():
        demands[job.team] = demands.get(job.team, 0.0) + job.spec.resources.dominant_share(total)
    fair = fair_shares(weights=WEIGHTS, demands=demands)
    return sum(abs(fair[team] - held.get(team, 0.0)) for team in fair) / 2


def _measure_decisions(measurement: Measurement, *, sizes: tuple[int, ...]) -> None:
    costs: dict[str, list[float]] = {"scheduler": [], "baseline": []}
    for size in sizes:
        simulation = JobSimulation(weights=WEIGHTS, run_s=lambda _: 1e9)
        simulation.prepare(vms=size)
        # 90 % of the VMs are full and the last 10 % are empty.
        for number in range(size * 9 // 10):
            simulation.accept(f"full-{number}", team="one", need=CAPACITY)
            start = StartRun(job_id=f"full-{number}", epoch=1, vm=f"vm{number:05}", vm_epoch=1, reason="fill")
            simulation.apply(start)
        for number in range(1_000):
            team = list(WEIGHTS)[number % 4]
            simulation.accept(f"new-{number}", team=team, task_kind=f"k{number % 20}", need=TINY)
        first_fit = FirstFitScheduler(simulation=simulation)
        first_fit.count_usage()
        costs["baseline"].append(_time_decisions(first_fit.plan, rounds=1))
        planner = simulation.scheduler().planner
        # The first refresh of a new leader reads the whole state and builds its index; it is timed separately.
        started = time.perf_counter()
        planner.refresh(state=simulation.replica.state, now_ms=0)
        planner.view.find(pool="p", need=TINY)
        first_refresh_s = time.perf_counter() - started
        measurement.figures[f"first_look_{size}_workers_ms"] = 1000 * first_refresh_s
        costs["scheduler"].append(_time_decisions(planner.plan, rounds=4))
    for name, values in costs.items():
        for size, cost in zip(sizes, values, strict=True):
            measurement.figures[f"decisions_{size}_workers_{name}_per_s"] = 1 / cost
        slope = log(values[-1] / values[0]) / log(sizes[-1] / sizes[0])
        measurement.figures[f"decision_cost_slope_{name}_exponent"] = slope
        points = [(float(size), 1e6 * cost) for size, cost in zip(sizes, values, strict=True)]
        measurement.series.append(
            Series(name=name, x_label="workers", y_label="cost of a decision, µs", points=points)
        )


def _time_decisions(plan: Callable[[], list[StartRun]], *, rounds: int) -> float:
    gc.collect()
    started = time.perf_counter()
    count = sum(len(plan()) for _ in range(rounds))
    return (time.perf_counter() - started) / count


async def _measure_bad_worker(measurement: Measurement, *, seed: int) -> None:
    for name in ("scheduler", "baseline"):
        simulation = JobSimulation(
            weights=WEIGHTS, run_s=_random_times(seed, 1, 3), fails=lambda vm: vm == "vm00000"
        )
        simulation.prepare(vms=16)
        rounds: JobScheduler | FirstFitScheduler = (
            simulation.scheduler() if name == "scheduler" else FirstFitScheduler(simulation=simulation)
        )
        quarantined_at = 0.0
        for step in range(round(30 / STEP_S)):
            if step % 2 == 0:
                for number in range(4):
                    team = list(WEIGHTS)[number]
                    simulation.accept(f"{team}-{step}", team=team, task_kind=f"k{step % 3}", need=EIGHT_CORES)
            await rounds.schedule_once()
            simulation.step()
            if (
                not quarantined_at
                and simulation.replica.state.tables.vms["vm00000"].state is VmState.QUARANTINED
            ):
                quarantined_at = simulation.now
        failed_runs = sum(outcome is RunOutcome.FAILED for _, outcome in simulation.outcomes)
        jobs = simulation.replica.state.tables.jobs.values()
        measurement.figures[f"bad_worker_failed_runs_in_30_s_{name}_runs"] = failed_runs
        measurement.figures[f"bad_worker_lost_jobs_in_30_s_{name}_jobs"] = sum(
            job.status == "failed" for job in jobs
        )
        if name == "scheduler":
            measurement.figures["bad_worker_quarantined_after_s"] = quarantined_at


def _measure_cancellations(measurement: Measurement, *, count: int) -> None:
    for name in ("batch", "baseline"):
        simulation = JobSimulation(weights=WEIGHTS, run_s=lambda _: 1e9)
        simulation.prepare(vms=16)
        ids = [f"j{number}" for number in range(count)]
        for job_id in ids:
            simulation.accept(job_id, team="one", need=EIGHT_CORES)
        # Collects the garbage of earlier measurements, so that it is not timed here.
        gc.collect()
        started = time.perf_counter()
        if name == "batch":
            for at in range(0, count, 1_000):
                simulation.apply(CancelJobs(job_ids=ids[at : at + 1_000], team="one"))
        else:
            for job_id in ids:
                simulation.apply(CancelJob(job_id=job_id, team="one"))
        measurement.figures[f"cancellations_applied_{name}_per_s"] = count / (time.perf_counter() - started)


async def _measure_urgent(measurement: Measurement, *, count: int) -> None:
    """Fills a pool with long tasks and measures the time from submission to start of urgent jobs."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment.prepare(name="pantry", folder=Path(folder))
        deployment.start()
        try:
            await deployment.wait_ready()
            fleet_stand_in = FleetStandIn.prepare(deployment)
            await fleet_stand_in.start()
            try:
                await _measure_starts(measurement, deployment, fleet_stand_in, count=100 * count)
                waits = await _time_urgent(deployment, fleet_stand_in, count=count)
                await _measure_burst(measurement, deployment, fleet_stand_in, count=125 * count)
            finally:
                await fleet_stand_in.stop()
        finally:
            deployment.stop()
    measurement.figures["urgent_start_on_full_pool_median_s"] = sorted(waits)[len(waits) // 2]
    measurement.figures["urgent_start_on_full_pool_worst_s"] = max(waits)


async def _measure_starts(
    measurement: Measurement, deployment: Deployment, fleet_stand_in: FleetStandIn, *, count: int
) -> None:
    """Measures the time from acceptance to start of jobs in a pool with free capacity."""
    urls = [daemon.url for daemon in deployment.daemons.values()]
    workers = [worker for worker in fleet_stand_in.workers.values() if worker.pool == "pickup"]
    async with aiohttp.ClientSession() as session:
        operator = OperatorClient(session=session, url=urls[0], token=deployment.operator_token)
        await operator.activate_document((EXAMPLES / "pantry" / "document.yaml").read_text())
        key = await operator.grant_key("granite-hearth")
        entries = [TeamClient(session=session, url=url, key=key) for url in urls]
        await _wait_for(lambda: all(worker.lease_expires_at for worker in workers))
        accepted: dict[str, float] = {}
        # 20 jobs a second of 0.5 s each use about ten cores.
        for number in range(count):
            entry = entries[number % len(entries)]
            job_id = await entry.submit(cores=1, urgent=False, pool="pickup", run_s=50)
            accepted[job_id] = time.monotonic()
            await asyncio.sleep(0.05)
        await _wait_for(lambda: {job for worker in workers for _, job, _ in worker.starts} >= set(accepted))
    started = {job: at for worker in workers for at, job, _ in reversed(worker.starts)}
    waits = sorted(started[job] - at for job, at in accepted.items())
    measurement.figures["accepted_to_started_p50_ms"] = 1000 * waits[len(waits) // 2]
    measurement.figures["accepted_to_started_p99_ms"] = 1000 * waits[len(waits) * 99 // 100]


async def _measure_burst(
    measurement: Measurement, deployment: Deployment, fleet_stand_in: FleetStandIn, *, count: int
) -> None:
    """Submits jobs from 64 concurrent callers over all entry VMs, then cancels all in one request."""
    urls = [daemon.url for daemon in deployment.daemons.values()]
    workers = [worker for worker in fleet_stand_in.workers.values() if worker.pool == "matching"]
    async with aiohttp.ClientSession() as session:
        operator = OperatorClient(session=session, url=urls[0], token=deployment.operator_token)
        key = await operator.grant_key("monadnock-freezers")
        entries = [TeamClient(session=session, url=url, key=key) for url in urls]
        slots = asyncio.Semaphore(64)

        async def submit(number: int) -> str:
            async with slots:
                return await entries[number % len(entries)].submit(cores=64, urgent=False, pool="matching")

        started = time.monotonic()
        ids = await asyncio.gather(*(submit(number) for number in range(count)))
        measurement.figures["accepted_durably_64_callers_per_s"] = count / (time.monotonic() - started)
        started = time.monotonic()
        await entries[0].cancel(ids)
        cancelled_at = time.monotonic()
        measurement.figures["cancelled_over_http_per_s"] = count / (cancelled_at - started)
        await asyncio.sleep(3)
        late = [
            at for worker in workers for at, job_id, _ in worker.starts if at > cancelled_at and job_id in ids
        ]
        measurement.figures["cancelled_jobs_started_later_jobs"] = len(late)


async def _time_urgent(deployment: Deployment, fleet_stand_in: FleetStandIn, *, count: int) -> list[float]:
    url = deployment.daemons["nashua-1"].url
    async with aiohttp.ClientSession() as session:
        operator = OperatorClient(session=session, url=url, token=deployment.operator_token)
        teams = TeamClient(session=session, url=url, key=await operator.grant_key("granite-hearth"))
        workers = [worker for worker in fleet_stand_in.workers.values() if worker.pool == "restock"]
        # The time scale shortens tasks of 60,000 s to 600 s, which is longer than the measurement.
        for _ in workers:
            await teams.submit(cores=64, urgent=False)
        await _wait_for(lambda: sum(len(worker.tasks) for worker in workers) == len(workers))
        waits = []
        for _ in range(count):
            started = time.monotonic()
            job_id = await teams.submit(cores=64, urgent=True)
            await _wait_for(partial(_is_running, workers, job_id))
            waits.append(time.monotonic() - started)
        return waits


class TeamClient:
    """Submits and cancels jobs of one team.

    Attributes:
        session: HTTP client.
        url: Base URL of the entry VM.
        key: Key of the team.
    """

    def __init__(self, *, session: aiohttp.ClientSession, url: str, key: str) -> None:
        self.session = session
        self.url = url
        self.key = key

    async def submit(self, *, cores: int, urgent: bool, pool: str = "restock", run_s: float = 60_000) -> str:
        """Submits a job, with retries for 10 s, and returns its ID."""
        spec = {
            "task_kind": "urgent" if urgent else f"of-{run_s:g}-s",
            "pool": pool,
            "resources": {"cores": cores, "memory_gb": 8},
            "run_s": run_s,
            "urgent": urgent,
            "checkpointable": True,
        }
        headers = {"Authorization": f"Bearer {self.key}"}
        deadline = time.monotonic() + 10
        while True:
            async with self.session.post(f"{self.url}/v1/jobs", json=spec, headers=headers) as answer:
                body = await answer.json()
                if answer.status == 202:
                    return str(body["job_id"])
            if time.monotonic() > deadline:
                raise TimeoutError(f"job was not accepted within 10 s: {body}")
            await asyncio.sleep(0.05)

    async def cancel(self, ids: list[str]) -> None:
        """Cancels jobs in one request."""
        headers = {"Authorization": f"Bearer {self.key}"}
        async with self.session.post(
            f"{self.url}/v1/jobs/cancel", json={"job_ids": ids}, headers=headers
        ) as answer:
            answer.raise_for_status()


def _is_running(workers: list[WorkerStandIn], job_id: str) -> bool:
    return any(job_id in worker.tasks for worker in workers)


async def _wait_for(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not condition():  # noqa: ASYNC110  bounded by the timeout
            await asyncio.sleep(0.005)


__all__ = ["measure"]
