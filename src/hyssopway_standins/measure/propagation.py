"""Measures how fast changes reach daemons and diskless followers, and the idle cost of a follower."""

from __future__ import annotations

import asyncio
import statistics
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from copy import deepcopy
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp
import capnp
import yaml
from expression import Result

from hyssopway.event import set_up_logging
from hyssopway.peer import PeerDirectory
from hyssopway.replica import Freshness, Replica, follow_upstream
from hyssopway.settings import load_settings
from hyssopway_standins.fleet import EXAMPLES
from hyssopway_standins.network import Network
from hyssopway_standins.operator_client import OperatorClient
from hyssopway_standins.processes import DaemonProcess, Deployment

if TYPE_CHECKING:
    from .measurement import Measurement

FOLLOWERS = 60
PROCESSES = 3
# Time for the follower processes to start and to read the state.
SETTLE_S = 4.0
PAUSE_S = 0.05
FOLLOWER = "follower"


@dataclass(frozen=True, slots=True, kw_only=True)
class FollowerPlan:
    """Work of one follower process.

    Attributes:
        settings_path: Settings file with the addresses of the daemons.
        upstreams: Daemon that each follower watches.
        until: Monotonic time at which the process ends; this clock is shared by all processes of a machine.
        idle_from: Monotonic time from which CPU time is counted.
    """

    settings_path: Path
    upstreams: list[str]
    until: float
    idle_from: float


def measure_propagation(measurement: Measurement, *, quick: bool) -> None:
    """Adds the propagation delay to six daemons and 60 followers, and the idle cost of a follower."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment.prepare(name="pantry", folder=Path(folder))
        deployment.start()
        try:
            asyncio.run(_measure(measurement, deployment, changes=60 if quick else 200))
        finally:
            deployment.stop()


async def _measure(measurement: Measurement, deployment: Deployment, *, changes: int) -> None:
    await deployment.wait_ready()
    direct = _follower_settings(deployment)
    async with aiohttp.ClientSession() as session:
        url = next(iter(deployment.daemons.values())).url
        operator = OperatorClient(session=session, url=url, token=deployment.operator_token)
        await operator.activate_document((EXAMPLES / "pantry" / "document.yaml").read_text())
        daemons = list(deployment.daemons)
        for name, upstreams in (
            ("all 6 daemon processes", daemons),
            (f"{FOLLOWERS} followers", [daemons[number % len(daemons)] for number in range(FOLLOWERS)]),
        ):
            delays = await _measure_propagation(
                operator, path=direct.settings_path, upstreams=upstreams, changes=changes
            )
            cuts = statistics.quantiles(delays, n=100, method="inclusive")
            measurement.figures[f"change in force on {name}, p50 ms"] = cuts[49]
            measurement.figures[f"change in force on {name}, p99 ms"] = cuts[98]
            measurement.figures[f"change in force on {name}, max ms"] = max(delays)
    await _measure_idle_cost(measurement, direct, upstreams=upstreams, window_s=8.0)


def _follower_settings(deployment: Deployment) -> DaemonProcess:
    one = next(iter(deployment.daemons.values()))
    settings = deepcopy(one.settings)
    settings.pop("data_dir", None)
    # A follower opens no listener, but its settings need an address that differs from those of the daemons.
    own = {"name": FOLLOWER, "host": "127.0.0.1", "member": False}
    settings["peers"].append(one.own | own)
    settings["name"] = FOLLOWER
    path = deployment.folder / f"{FOLLOWER}.yaml"
    path.write_text(yaml.safe_dump(settings))
    return DaemonProcess(name=FOLLOWER, settings_path=path, settings=settings, log_path=path)


async def _measure_propagation(
    operator: OperatorClient, *, path: Path, upstreams: list[str], changes: int
) -> list[float]:
    start = time.monotonic() + SETTLE_S
    # Limits the run time of the follower processes when changes are slow.
    until = start + changes * (PAUSE_S + 0.05) + 1.0
    running = asyncio.gather(*_start_followers(path=path, upstreams=upstreams, until=until, idle_from=start))
    await asyncio.sleep(start - time.monotonic())
    sent: list[tuple[float, int]] = []
    for number in range(changes):
        sent_at = time.monotonic()
        body = {"key_id": f"{len(upstreams)}n{number}", "key_hash": "0" * 64, "team": "casco-bay"}
        sent.append((sent_at, int((await operator.post("/v1/keys", body))["index"])))
        await asyncio.sleep(PAUSE_S)
    followers = [seen for result in await running for seen in result["seen"]]
    return [(max(_find_applied_at(seen, index) for seen in followers) - at) * 1000 for at, index in sent]


def _find_applied_at(seen: list[tuple[float, int]], index: int) -> float:
    return next(at for at, applied in seen if applied >= index)


async def _measure_idle_cost(
    measurement: Measurement, direct: DaemonProcess, *, upstreams: list[str], window_s: float
) -> None:
    network = Network()
    relayed = Deployment(name="pantry", folder=direct.settings_path.parent, daemons={FOLLOWER: direct})
    await network.attach(relayed)
    start = time.monotonic() + SETTLE_S
    until = start + window_s
    running = asyncio.gather(
        *_start_followers(path=direct.settings_path, upstreams=upstreams, until=until, idle_from=start)
    )
    await asyncio.sleep(start - time.monotonic())
    before = network.forwarded
    await asyncio.sleep(max(0.0, until - 0.5 - time.monotonic()))
    count = (network.forwarded - before) / (window_s - 0.5)
    results = await running
    await network.close()
    measurement.figures["idle bytes per s and follower"] = count / len(upstreams)
    cpu = sum(result["cpu_s"] for result in results) / window_s
    measurement.figures["idle processor ms per s and follower"] = cpu * 1000 / len(upstreams)


def _start_followers(
    *, path: Path, upstreams: list[str], until: float, idle_from: float
) -> list[asyncio.Future[dict[str, Any]]]:
    loop = asyncio.get_running_loop()
    pool = ProcessPoolExecutor(max_workers=PROCESSES, mp_context=get_context("spawn"))
    plans = [
        FollowerPlan(
            settings_path=path, upstreams=upstreams[part::PROCESSES], until=until, idle_from=idle_from
        )
        for part in range(PROCESSES)
    ]
    started = [loop.run_in_executor(pool, run_followers, plan) for plan in plans]
    pool.shutdown(wait=False)
    return started


def run_followers(plan: FollowerPlan) -> dict[str, Any]:
    """Runs followers in this process; returns the times and indexes that each applied, and the CPU time."""
    set_up_logging(level="WARNING", json_output=False)
    result: dict[str, Any] = asyncio.run(capnp.run(_follow_all(plan)))
    return result


async def _follow_all(plan: FollowerPlan) -> dict[str, Any]:
    match load_settings(plan.settings_path):
        case Result(tag="ok", ok=settings):
            pass
        case Result(error=problems):
            raise ValueError("; ".join(str(problem) for problem in problems))
    seen: list[list[tuple[float, int]]] = [[] for _ in plan.upstreams]
    tasks = []
    directories = []
    for upstream, record in zip(plan.upstreams, seen, strict=True):
        replica = Replica()
        peers = PeerDirectory(settings=settings)
        directories.append(peers)
        freshness = Freshness(clock=time.monotonic)
        following = follow_upstream(replica=replica, freshness=freshness, peers=peers, upstreams=[upstream])
        tasks += [asyncio.create_task(following), asyncio.create_task(_record_applied(replica, record))]
    await asyncio.sleep(max(0.0, plan.idle_from - time.monotonic()))
    before = time.process_time()
    await asyncio.sleep(max(0.0, plan.until - time.monotonic()))
    cpu_s = time.process_time() - before
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for peers in directories:
        peers.close()
    return {"seen": seen, "cpu_s": cpu_s}


async def _record_applied(replica: Replica, seen: list[tuple[float, int]]) -> None:
    while True:
        if await replica.wait_applied_past(replica.applied_index, timeout_s=60.0):
            seen.append((time.monotonic(), replica.applied_index))


__all__ = ["measure_propagation", "run_followers"]
