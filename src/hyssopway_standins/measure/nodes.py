"""Measures CPU, memory and traffic of daemons and worker nodes by the number of workers."""

from __future__ import annotations

import asyncio
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
import psutil
from pydantic_core import to_json

from hyssopway.document import Resources
from hyssopway_standins.fleet import EXAMPLES
from hyssopway_standins.operator_client import OperatorClient
from hyssopway_standins.processes import Deployment
from hyssopway_standins.worker import WorkerStandIn

from .fit import fit_line
from .measurement import Measurement, Series

if TYPE_CHECKING:
    from collections.abc import Sequence

SIZES = (60, 180, 360)
QUICK_SIZES = (20, 40, 60)
SETTLE_S = 4.0
WINDOW_S = 8.0
SYNC_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Cost:
    """Resource use of all daemons in one measurement window.

    Attributes:
        cpu: CPU seconds a second of all daemons.
        largest_rss_mb: Resident memory of the largest daemon.
        workers_cpu: CPU seconds a second of this process, which runs the simulated workers.
    """

    cpu: float
    largest_rss_mb: float
    workers_cpu: float


def measure(*, seed: int, quick: bool) -> Measurement:
    """Measures CPU time and memory of the daemons, and the traffic of a worker."""
    return asyncio.run(_measure(sizes=QUICK_SIZES if quick else SIZES))


async def _measure(*, sizes: Sequence[int]) -> Measurement:
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment.prepare(name="pantry", folder=Path(folder))
        deployment.start()
        try:
            await deployment.wait_ready()
            return await _measure_sizes(deployment, sizes=sizes)
        finally:
            deployment.stop()


async def _measure_sizes(deployment: Deployment, *, sizes: Sequence[int]) -> Measurement:
    async with aiohttp.ClientSession() as session:
        url = next(iter(deployment.daemons.values())).url
        operator = OperatorClient(session=session, url=url, token=deployment.operator_token)
        await operator.activate_document((EXAMPLES / "pantry" / "document.yaml").read_text())
    idle = await _cost(deployment)
    workers: list[WorkerStandIn] = []
    cpu: list[tuple[float, float]] = [(0, idle.cpu)]
    syncs_per_s = 0.0
    memory: list[tuple[float, float]] = [(0, idle.largest_rss_mb)]
    own_cpu: list[tuple[float, float]] = [(0, idle.workers_cpu)]
    try:
        for size in sizes:
            while len(workers) < size:
                workers.append(_start_worker(deployment, number=len(workers)))
            await asyncio.sleep(SETTLE_S)
            before = sum(worker.number for worker in workers)
            cost = await _cost(deployment)
            syncs_per_s = (sum(worker.number for worker in workers) - before) / WINDOW_S / size
            cpu.append((size, cost.cpu))
            memory.append((size, cost.largest_rss_mb))
            own_cpu.append((size, cost.workers_cpu))
    finally:
        for worker in workers:
            worker.stop()
    cpu_fit, memory_fit, own_fit = fit_line(cpu), fit_line(memory), fit_line(own_cpu)
    sent, received = await _bytes_per_sync(deployment, worker=workers[0])
    return Measurement(
        area="nodes",
        figures={
            "idle_cpu_of_all_six_daemons": idle.cpu,
            "cpu_ms_per_worker_and_second": cpu_fit.slope * 1000,
            "syncs_per_worker_and_second": syncs_per_s,
            "cpu_fit_error": cpu_fit.error,
            "cpu_per_worker": cpu_fit.slope,
            "worker_cpu": own_fit.slope,
            "worker_cpu_fit_error": own_fit.error,
            "daemon_rss_mb_idle": memory_fit.base,
            "daemon_rss_kb_per_worker": memory_fit.slope * 1024,
            "rss_fit_error": memory_fit.error,
            "worker_bytes_sent_per_sync": sent,
            "worker_bytes_received_per_sync": received,
            "worker_bytes_per_second": (sent + received) * syncs_per_s,
        },
        series=[
            Series(name="six daemons", x_label="workers", y_label="processor seconds a second", points=cpu),
            Series(name="largest daemon", x_label="workers", y_label="resident MB", points=memory),
        ],
    )


def _start_worker(deployment: Deployment, *, number: int) -> WorkerStandIn:
    zones = sorted({daemon.zone for daemon in deployment.daemons.values()})
    zone = zones[number % len(zones)]
    entries = deployment.entries(zone)
    worker = WorkerStandIn(
        vm=f"vm-{number}",
        zone=zone,
        rack=f"{zone}-{number // 40}",
        pool="restock",
        capacity=Resources(cores=64, memory_gb=128, accelerators=2),
        entries=entries[number % len(entries) :] + entries[: number % len(entries)],
        fleet_token=deployment.fleet_token,
        sync_s=SYNC_INTERVAL_S,
    )
    worker.start()
    return worker


async def _cost(deployment: Deployment) -> Cost:
    processes = [
        psutil.Process(daemon.process.pid)
        for daemon in deployment.daemons.values()
        if daemon.process is not None
    ]
    before, own_before = sum(sum(process.cpu_times()[:2]) for process in processes), time.process_time()
    await asyncio.sleep(WINDOW_S)
    after, own_after = sum(sum(process.cpu_times()[:2]) for process in processes), time.process_time()
    largest = max(process.memory_info().rss for process in processes)
    return Cost(
        cpu=(after - before) / WINDOW_S,
        largest_rss_mb=largest / 2**20,
        workers_cpu=(own_after - own_before) / WINDOW_S,
    )


async def _bytes_per_sync(deployment: Deployment, *, worker: WorkerStandIn) -> tuple[int, int]:
    """Returns the bytes sent and received in one sync, without TCP and IP headers."""
    body = to_json(worker.build_sync_request())
    url = worker.entries[0]
    host, port = url.removeprefix("http://").split(":")
    head = (
        f"POST /v1/workers/{worker.vm}/sync HTTP/1.1\r\nHost: {host}:{port}\r\n"
        f"Authorization: Bearer {deployment.fleet_token}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(head.encode() + body)
    answer = await reader.read()
    writer.close()
    return len(head) + len(body), len(answer)


__all__ = ["measure"]
