"""A single seeded run of the soak test."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import aiohttp

from .callers import Callers
from .fault_injector import FaultInjector
from .held_calls import HeldCalls
from .invariant_checker import InvariantChecker
from .job_kinds import HAUL_LOADS, PATH_PREFIXES, PLAN_LOAD, SPREAD_LOAD
from .leader_events import LeaderCounts
from .machine_api import MachineApi
from .nodes import Node, find_free_port
from .proxy import Proxy
from .restart_cuts import RestartCuts
from .spread_troubles import SpreadTroubles
from .worker_vm import WorkerVm

if TYPE_CHECKING:
    from pathlib import Path

CONTROL_NODES, ENTRY_NODES, WORKER_VMS = 4, 2, 5
MAX_ATTEMPTS = 3
READY_TIMEOUT_S = 20.0
# Every accepted job must reach a final state within this time after the last fault.
SETTLE_TIMEOUT_S = 25.0
# The same with long tasks: one may wait for late calls (13 s) and the longest lease (10 s) and then work for 15 s more.
LONG_SETTLE_TIMEOUT_S = SETTLE_TIMEOUT_S + 25.0
FINAL_STATES = ("completed", "failed", "cancelled")
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "plans",
            "host": "a.example",
            "path_prefix": "/p/",
            "timeout_ms": 3000,
            "service": "vans",
            "max_attempts": MAX_ATTEMPTS,
            "target_latency_ms": 500,
            "stretch": 2.0,
        },
        *(
            {
                "name": queue,
                "host": "a.example",
                "path_prefix": PATH_PREFIXES[queue],
                "timeout_ms": 3000,
                "service": service,
                "max_attempts": MAX_ATTEMPTS,
                "target_latency_ms": 500,
                "stretch": 2.0,
            }
            for queue, service in (("peeks", "trams"), ("scans", "trams"), ("hauls", "barges"))
        ),
    ],
    "services": [
        *({"name": name, "rejects_overload": False} for name in ("vans", "cars", "trams")),
        {"name": "barges", "rejects_overload": True},
    ],
    "tenants": [
        {"name": "one", "api_keys": ["key-0"], "weight": 2.0},
        {"name": "two", "api_keys": ["key-1"]},
        {"name": "guest", "api_keys": ["key-2"]},
    ],
}
GUEST = 2
# Position of the queue that documents lead to one pool and then to another.
MOVED_QUEUE = 1
# Pools of spread tasks, with the labels of their VMs: each has a rack of its own, so that a copy may go to any other.
SPREAD_POOLS = {
    pool: [(kind, f"{pool}-{number}") for number, kind in enumerate("aab" if pool == "trams" else "aabab")]
    for pool in ("cars", "trams")
}
# VMs that are restarted under their ID and cut off.
CUT_POOL, CUT_VMS = "barges", 6
# No wave of restarts and cuts starts in the last seconds of a run.
LAST_WAVE_S = 10.0


@dataclass(slots=True, kw_only=True)
class SoakReport:
    """Result of a soak run.

    Attributes:
        seed: Seed of the run.
        broken: Violated guarantees.
        jobs: Number of submitted jobs.
        accepted: Number of accepted jobs.
        starts: Number of runs that started on worker VMs.
        answers: Number of responses by HTTP status.
        faults: Log of the injected faults.
        counts: What leaders logged of rounds that overlap, restarts of VMs and leases that ended.
        window: How often VMs restarted, were cut off and lost their leader in between; empty without this series.
    """

    seed: int
    broken: list[str]
    jobs: int = 0
    accepted: int = 0
    starts: int = 0
    answers: dict[int, int] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    counts: LeaderCounts = field(default_factory=LeaderCounts)
    window: str = ""

    def describe(self) -> str:
        """Returns a one-line summary."""
        outcome = "; ".join(self.broken[:3]) or "no guarantee violated"
        return (
            f"seed {self.seed}: {self.jobs} jobs, {self.accepted} accepted, {self.starts} starts, "
            f"{len(self.faults)} faults, {self.counts.describe()}, {self.window}answers {dict(sorted(self.answers.items()))}: {outcome}"
        )


class SoakRun:
    """Starts the processes, worker VMs and callers of a run and checks the guarantees.

    Attributes:
        seed: Seed of jobs, faults and the behaviour of worker VMs; the timing of processes is not reproduced.
        folder: Directory of settings, data and output of all processes.
        has_spread_tasks: Whether spread tasks, their pools and their troubles are added.
        has_restart_cuts: Whether long tasks, their pool and the restarts and cuts of its VMs are added.
    """

    def __init__(
        self, *, seed: int, folder: Path, has_spread_tasks: bool = True, has_restart_cuts: bool = False
    ) -> None:
        self.seed = seed
        self.folder = folder
        self.has_spread_tasks = has_spread_tasks
        self.has_restart_cuts = has_restart_cuts
        self.checker = InvariantChecker(max_attempts=MAX_ATTEMPTS)
        self.machine_api = MachineApi()
        # Each run uses its own loopback addresses, so that concurrent runs do not conflict.
        subnet = 10 + seed % 200
        self.controls = [
            self._create_node("control", subnet=subnet, number=number) for number in range(CONTROL_NODES)
        ]
        self.entries = [
            self._create_node("entry", subnet=subnet, number=50 + number) for number in range(ENTRY_NODES)
        ]
        self.peer_port = find_free_port(self.controls[0].host)
        self.workers: list[WorkerVm] = []
        self.proxies: list[Proxy] = []
        self.spread_workers: list[WorkerVm] = []
        self.cut_workers: list[WorkerVm] = []
        self.callers: list[Callers] = []
        self.loads = [
            PLAN_LOAD,
            *((SPREAD_LOAD,) if has_spread_tasks else ()),
            *(HAUL_LOADS if has_restart_cuts else ()),
        ]
        self.config_version = 0
        self.config_lock = asyncio.Lock()
        self.grants_guest = True
        self.moved_to = "cars"

    async def run(self, *, for_s: float) -> SoakReport:
        """Injects faults, ends all of them, waits for the jobs and checks the guarantees.

        Args:
            for_s: Duration of fault injection in seconds.
        """
        try:
            await self._start()
            injector = FaultInjector(
                rng=random.Random(f"{self.seed} faults"),
                restart_rng=random.Random(f"{self.seed} restarts"),
                controls=[] if self.has_restart_cuts else self.controls,
                entries=self.entries,
                proxies=self.proxies,
                workers=self.workers,
                configure=lambda node: self._configure(node, bootstrap=False),
                put_config=self._put_config,
                log_file=self.folder / "faults.log",
            )
            troubles = SpreadTroubles(
                rng=random.Random(f"{self.seed} spread troubles"),
                controls=self.controls,
                workers=self.spread_workers,
                move_queue=self._move_queue,
                log_fault=injector.log_fault,
                list_faulted=lambda: injector.faulted_nodes,
            )
            cuts = RestartCuts(
                rng=random.Random(f"{self.seed} restart cuts"),
                controls=self.controls,
                workers=self.cut_workers,
                log_fault=injector.log_fault,
            )
            await asyncio.gather(
                injector.run(for_s=for_s),
                troubles.run(for_s=for_s if self.has_spread_tasks else 0.0),
                cuts.run(for_s=for_s - LAST_WAVE_S if self.has_restart_cuts else 0.0),
                *(
                    callers.run(for_s=for_s - load.rest_s, rate_per_s=load.rate_per_s)
                    for callers, load in zip(self.callers, self.loads, strict=True)
                ),
            )
            await self._wait_for_jobs()
            self.checker.check_refused_jobs()
            return SoakReport(
                seed=self.seed,
                broken=list(self.checker.broken),
                jobs=len(self.checker.jobs),
                accepted=sum(job.accepted for job in self.checker.jobs.values()),
                starts=self.checker.starts,
                answers=sum((Counter(callers.answers) for callers in self.callers), Counter()),
                faults=injector.log,
                counts=self._count_events(),
                window=f"{cuts.describe()}, " if self.has_restart_cuts else "",
            )
        finally:
            await self._stop()
            for name, lines in (("runs.log", self.checker.run_log), ("broken.log", self.checker.broken)):
                (self.folder / name).write_text("".join(f"{line}\n" for line in lines))

    def _create_node(self, role: str, *, subnet: int, number: int) -> Node:
        name = f"{role}-{number}"
        return Node(name=name, role=role, host=f"127.0.{subnet}.{number + 1}", folder=self.folder / name)

    def _configure(self, node: Node, *, bootstrap: bool) -> None:
        seeds = [control.http for control in self.controls[:3]]
        node.write_settings(
            seeds=seeds,
            peer_port=self.peer_port,
            machine_api_address=self.machine_api.address,
            bootstrap=bootstrap,
        )

    async def _start(self) -> None:
        await self.machine_api.start()
        for node in (*self.controls, *self.entries):
            self._configure(node, bootstrap=node.role == "control")
            node.start()
        await self._put_config()
        for number in range(WORKER_VMS):
            worker = self._create_worker(f"m{number}")
            await worker.start()
            proxy = await self._start_proxy(worker.address)
            worker.announced_address = proxy.address
            self.workers.append(worker)
        for pool, all_labels in SPREAD_POOLS.items() if self.has_spread_tasks else ():
            for number, labels in enumerate(all_labels):
                worker = self._create_worker(f"{pool}{number}", pool=pool, labels=labels)
                await worker.start()
                self.spread_workers.append(worker)
        for number in range(CUT_VMS if self.has_restart_cuts else 0):
            worker = self._create_worker(f"{CUT_POOL}{number}", pool=CUT_POOL, rejects_overload=True)
            await worker.start()
            self.cut_workers.append(worker)
        entries = [(await self._start_proxy(entry.http)).address for entry in self.entries]
        for load in self.loads:
            rng = random.Random(f"{self.seed} {load.name}")
            callers = Callers(checker=self.checker, rng=rng, entries=entries, make_job=load.make_job)
            await callers.open()
            self.callers.append(callers)
        await asyncio.sleep(1.0)

    def _create_worker(
        self,
        name: str,
        *,
        pool: str = "vans",
        labels: tuple[str, ...] = (),
        rejects_overload: bool = False,
    ) -> WorkerVm:
        number = name.removeprefix("m")
        return WorkerVm(
            name=name,
            checker=self.checker,
            rng=random.Random(f"{self.seed} worker {number}"),
            control=[one.http for one in self.controls],
            held_calls=HeldCalls(rng=random.Random(f"{self.seed} held calls {name}")),
            pool=pool,
            labels=labels,
            rejects_overload=rejects_overload,
        )

    async def _start_proxy(self, address: str) -> Proxy:
        host, _, port = address.rpartition(":")
        proxy = Proxy(target=(host, int(port)))
        await proxy.start()
        self.proxies.append(proxy)
        return proxy

    async def _put_config(self, grants_guest: bool = True) -> None:
        """Puts the next version of the configuration into force, with or without the key of the guest."""
        self.grants_guest = grants_guest
        await self._put_next_version()

    async def _move_queue(self, pool: str) -> None:
        self.moved_to = pool
        await self._put_next_version()

    async def _put_next_version(self) -> None:
        async with self.config_lock:
            self.config_version += 1
            routes = [dict(route) for route in CONFIG["routes"]]
            routes[MOVED_QUEUE]["service"] = self.moved_to
            for route in routes:
                self.checker.queue_pools.setdefault(route["name"], set()).add(route["service"])
            tenants = CONFIG["tenants"] if self.grants_guest else CONFIG["tenants"][:GUEST]
            await self._send_config(
                CONFIG | {"version": self.config_version, "tenants": tenants, "routes": routes}
            )

    async def _send_config(self, config: dict[str, Any]) -> None:
        """Sends a configuration to any control node until one accepts it."""
        rng = random.Random(f"{self.seed} config {self.config_version}")
        answers: Counter[str] = Counter()
        deadline = time.monotonic() + READY_TIMEOUT_S
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3.0)) as session:
            while time.monotonic() < deadline:
                node = rng.choice(self.controls)
                try:
                    url = f"http://{node.http}/hyssopway/config"
                    async with session.put(url, data=json.dumps(config)) as response:
                        if response.status == 200:
                            return
                        answers[f"{node.name} {response.status}"] += 1
                except (aiohttp.ClientError, TimeoutError, OSError) as error:
                    answers[f"{node.name} {type(error).__name__}"] += 1
                await asyncio.sleep(0.1)
        self.checker.broken.append(
            f"version {self.config_version} of the configuration was not accepted within {READY_TIMEOUT_S:.0f} s: {dict(answers)}"
        )

    async def _wait_for_jobs(self) -> None:
        timeout_s = LONG_SETTLE_TIMEOUT_S if self.has_restart_cuts else SETTLE_TIMEOUT_S
        deadline = time.monotonic() + timeout_s
        unfinished = self._list_unfinished_jobs()
        while unfinished and time.monotonic() < deadline:
            await asyncio.sleep(0.5)
            for callers in self.callers:
                for job_id in callers.acked_at.keys() & set(unfinished):
                    await callers.fetch_state(job_id)
            unfinished = self._list_unfinished_jobs()
        self.checker.broken += [
            f"LOST: {job_id} is {self.checker.jobs[job_id].state or 'unknown'} {timeout_s:.0f} s after the last fault"
            for job_id in unfinished
        ]

    def _count_events(self) -> LeaderCounts:
        counts = LeaderCounts()
        for control in self.controls:
            counts.add_log(control.output)
        return counts

    def _list_unfinished_jobs(self) -> list[str]:
        return [
            key for key, job in self.checker.jobs.items() if job.accepted and job.state not in FINAL_STATES
        ]

    async def _stop(self) -> None:
        for callers in self.callers:
            await callers.close()
        for worker in (*self.workers, *self.spread_workers, *self.cut_workers):
            await worker.stop()
        for proxy in self.proxies:
            await proxy.stop()
        for node in (*self.controls, *self.entries):
            node.resume()
            node.release_disk()
            node.kill()
        await self.machine_api.stop()


__all__ = ["SoakReport", "SoakRun"]
