"""One seeded run of the soak."""

from __future__ import annotations

import asyncio
import json
import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp

from .callers import Callers
from .faults import Faults
from .machines import Machines
from .nodes import Node, find_free_port
from .proxy import Proxy
from .truth import Truth
from .worker_vm import WorkerVm

if TYPE_CHECKING:
    from pathlib import Path

CONTROLS, ENTRIES, WORKERS = 4, 2, 5
MAX_ATTEMPTS = 3
RATE_PER_S = 6.0
READY_S = 20.0
# Every accepted job must end within this time after the last fault.
SETTLE_S = 25.0
FINAL = ("completed", "failed", "cancelled")
MANIFEST = {
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
        }
    ],
    "services": [{"name": "vans"}],
    "tenants": [{"name": "one", "api_keys": ["key-1"]}],
}


@dataclass(slots=True, kw_only=True)
class Report:
    """What a run showed.

    Attributes:
        seed: Seed of the run.
        broken: Broken promises.
        jobs: Number of jobs handed in.
        accepted: Number of jobs accepted.
        starts: Number of starts.
        answers: Number of answers by status.
        faults: What was injected.
    """

    seed: int
    broken: list[str]
    jobs: int = 0
    accepted: int = 0
    starts: int = 0
    answers: dict[int, int] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)

    def describe(self) -> str:
        """Returns one line."""
        outcome = "; ".join(self.broken[:3]) or "no promise broken"
        return (
            f"seed {self.seed}: {self.jobs} jobs, {self.accepted} accepted, {self.starts} starts, "
            f"{len(self.faults)} faults, answers {dict(sorted(self.answers.items()))}: {outcome}"
        )


class Soak:
    """Processes, worker VMs and callers of one run.

    Attributes:
        seed: Chooses jobs, faults and what worker VMs do; the timing of the machine is not repeated.
        folder: Settings, data and output of all processes.
    """

    def __init__(self, *, seed: int, folder: Path) -> None:
        self.seed = seed
        self.folder = folder
        self.truth = Truth(max_attempts=MAX_ATTEMPTS)
        self.machines = Machines()
        # Loopback addresses of their own, so that runs side by side do not meet.
        block = 10 + seed % 200
        self.controls = [self._node("control", block=block, number=number) for number in range(CONTROLS)]
        self.entries = [self._node("entry", block=block, number=50 + number) for number in range(ENTRIES)]
        self.peer_port = find_free_port(self.controls[0].host)
        self.workers: list[WorkerVm] = []
        self.proxies: list[Proxy] = []
        self.callers: Callers | None = None

    async def run(self, *, for_s: float) -> Report:
        """Runs with faults for some seconds, heals everything and checks what must hold."""
        try:
            await self._start()
            faults = Faults(
                rng=random.Random(f"{self.seed} faults"),
                controls=self.controls,
                entries=self.entries,
                proxies=self.proxies,
                workers=self.workers,
                rewrite=lambda node: self._configure(node, bootstrap=False),
                log_file=self.folder / "faults.log",
            )
            callers = self.callers
            if callers is None:
                raise RuntimeError("the soak has no callers")
            await asyncio.gather(faults.run(for_s=for_s), callers.run(for_s=for_s, rate_per_s=RATE_PER_S))
            await self._settle(callers)
            self.truth.check_refused()
            return Report(
                seed=self.seed,
                broken=list(self.truth.broken),
                jobs=len(self.truth.jobs),
                accepted=sum(job.accepted for job in self.truth.jobs.values()),
                starts=self.truth.starts,
                answers=callers.answers,
                faults=faults.log,
            )
        finally:
            await self._stop()

    def _node(self, role: str, *, block: int, number: int) -> Node:
        name = f"{role}-{number}"
        return Node(name=name, role=role, host=f"127.0.{block}.{number + 1}", folder=self.folder / name)

    def _configure(self, node: Node, *, bootstrap: bool) -> None:
        seeds = [control.http for control in self.controls[:3]]
        node.write_settings(
            seeds=seeds, peer_port=self.peer_port, machines=self.machines.address, bootstrap=bootstrap
        )

    async def _start(self) -> None:
        await self.machines.start()
        for node in (*self.controls, *self.entries):
            self._configure(node, bootstrap=node.role == "control")
            node.start()
        await self._put_manifest()
        for number in range(WORKERS):
            worker = WorkerVm(
                name=f"m{number}",
                truth=self.truth,
                rng=random.Random(f"{self.seed} worker {number}"),
                control=[one.http for one in self.controls],
            )
            await worker.start()
            proxy = await self._front(worker.address)
            worker.announced_address = proxy.address
            self.workers.append(worker)
        entries = [(await self._front(entry.http)).address for entry in self.entries]
        rng = random.Random(f"{self.seed} callers")
        self.callers = Callers(truth=self.truth, rng=rng, entries=entries)
        await self.callers.open()
        await asyncio.sleep(1.0)

    async def _front(self, address: str) -> Proxy:
        host, _, port = address.rpartition(":")
        proxy = Proxy(target=(host, int(port)))
        await proxy.start()
        self.proxies.append(proxy)
        return proxy

    async def _put_manifest(self) -> None:
        until = time.monotonic() + READY_S
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3.0)) as session:
            while time.monotonic() < until:
                try:
                    url = f"http://{self.controls[0].http}/hyssopway/config"
                    async with session.put(url, data=json.dumps(MANIFEST)) as answer:
                        if answer.status == 200:
                            return
                except (aiohttp.ClientError, TimeoutError, OSError):
                    pass
                await asyncio.sleep(0.1)
        self.truth.broken.append(f"the manifest was not accepted within {READY_S:.0f} s of the start")

    async def _settle(self, callers: Callers) -> None:
        until = time.monotonic() + SETTLE_S
        open_jobs = self._list_open()
        while open_jobs and time.monotonic() < until:
            await asyncio.sleep(0.5)
            for job_id in open_jobs:
                await callers.ask_state(job_id)
            open_jobs = self._list_open()
        self.truth.broken += [
            f"LOST: {job_id} is {self.truth.jobs[job_id].state or 'unknown'} {SETTLE_S:.0f} s after the last fault"
            for job_id in open_jobs
        ]

    def _list_open(self) -> list[str]:
        return [key for key, job in self.truth.jobs.items() if job.accepted and job.state not in FINAL]

    async def _stop(self) -> None:
        if self.callers is not None:
            await self.callers.close()
        for worker in self.workers:
            await worker.stop()
        for proxy in self.proxies:
            await proxy.stop()
        for node in (*self.controls, *self.entries):
            node.thaw()
            node.kill()
        await self.machines.stop()


__all__ = ["Report", "Soak"]
