"""Chooses and injects faults; series overlap."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from .proxy import Trouble

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine
    from pathlib import Path

    from .nodes import Node
    from .proxy import Proxy
    from .worker_vm import WorkerVm

# The disk of one control node may be lost at a time; the group needs this long to replace it.
WIPE_PAUSE_S = 12.0


class Faults:
    """Injects faults into processes, connections and worker VMs.

    Attributes:
        rng: Chooses them.
        controls: Control nodes.
        entries: Entries.
        proxies: Proxies before entries and worker VMs.
        workers: Worker VMs.
        rewrite: Writes the settings of a node whose disk was lost.
        log: What was done and when.
        log_file: Keeps the same while the run lasts.
        busy: Nodes with a fault in progress.
        wiped_at: Local time of the last loss of a disk.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        controls: list[Node],
        entries: list[Node],
        proxies: list[Proxy],
        workers: list[WorkerVm],
        rewrite: Callable[[Node], None],
        log_file: Path,
    ) -> None:
        self.rng = rng
        self.controls = controls
        self.entries = entries
        self.proxies = proxies
        self.workers = workers
        self.rewrite = rewrite
        self.log: list[str] = []
        self.log_file = log_file
        self.busy: set[str] = set()
        self.wiped_at = float("-inf")
        self.began_at = time.monotonic()
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, *, for_s: float) -> None:
        """Injects faults for some seconds and waits until the last has passed."""
        until = time.monotonic() + for_s
        kinds: list[Callable[[], Coroutine[Any, Any, None]]] = [
            self._kill,
            self._freeze,
            self._restart,
            self._wipe,
            self._kill_all,
            self._trouble_connections,
            self._trouble_connections,
            self._crash_worker,
            self._worsen_workers,
        ]
        while time.monotonic() < until:
            task = asyncio.create_task(self.rng.choice(kinds)())
            self.tasks.add(task)
            await asyncio.sleep(self.rng.expovariate(0.7))
        await asyncio.gather(*self.tasks)

    def _note(self, text: str) -> None:
        self.log.append(f"{time.monotonic() - self.began_at:7.2f} {text}")
        with self.log_file.open("a") as stream:
            stream.write(f"{time.strftime('%H:%M:%S')} {self.log[-1]}\n")

    def _start(self, node: Node) -> None:
        self._note(f"start {node.name}")
        node.start()

    def _choose(self, nodes: list[Node]) -> Node | None:
        free = [node for node in nodes if node.name not in self.busy]
        return self.rng.choice(free) if free else None

    async def _kill(self) -> None:
        node = self._choose([*self.controls, *self.entries])
        if node is not None:
            self.busy.add(node.name)
            self._note(f"kill {node.name}")
            node.kill()
            await asyncio.sleep(self.rng.uniform(0.1, 3.0))
            self._start(node)
            self.busy.discard(node.name)

    async def _freeze(self) -> None:
        node = self._choose([*self.controls, *self.entries])
        if node is not None:
            self.busy.add(node.name)
            seconds = self.rng.choice((0.2, 0.6, 2.0, 6.0))
            self._note(f"freeze {node.name} for {seconds} s")
            node.freeze()
            await asyncio.sleep(seconds)
            node.thaw()
            self.busy.discard(node.name)

    async def _restart(self) -> None:
        node = self._choose([*self.controls, *self.entries])
        if node is not None:
            self.busy.add(node.name)
            self._note(f"restart {node.name}")
            node.terminate()
            status = await asyncio.to_thread(node.wait)
            self._note(f"{node.name} ended with {status}")
            self._start(node)
            self.busy.discard(node.name)

    async def _wipe(self) -> None:
        now = time.monotonic()
        controls = {node.name for node in self.controls}
        if self.busy & controls or now - self.wiped_at < WIPE_PAUSE_S or now - self.began_at < WIPE_PAUSE_S:
            return
        node = self.rng.choice(self.controls)
        # Nothing else may happen to a control node until the group has replaced the member.
        self.wiped_at = now
        self.busy |= controls
        self._note(f"wipe {node.name}")
        node.kill()
        node.wipe()
        self.rewrite(node)
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        self._start(node)
        await asyncio.sleep(6.0)
        self.busy -= controls

    async def _kill_all(self) -> None:
        if self.busy & {node.name for node in self.controls}:
            return
        self.busy |= {node.name for node in self.controls}
        self._note("kill all control nodes")
        for node in self.controls:
            node.kill()
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        for node in self.controls:
            self._start(node)
        await asyncio.sleep(1.0)
        self.busy -= {node.name for node in self.controls}

    async def _trouble_connections(self) -> None:
        proxy = self.rng.choice(self.proxies)
        trouble = self.rng.choice([one for one in Trouble if one is not Trouble.NONE])
        seconds = self.rng.uniform(0.2, 4.0)
        self._note(f"{trouble} before {proxy.target} for {seconds:.1f} s")
        proxy.set(trouble, delay_s=self.rng.uniform(0.05, 0.6))
        await asyncio.sleep(seconds)
        proxy.set(Trouble.NONE)

    async def _crash_worker(self) -> None:
        worker = self.rng.choice(self.workers)
        self._note(f"crash {worker.vm_id}")
        worker.crash()

    async def _worsen_workers(self) -> None:
        worker = self.rng.choice(self.workers)
        self._note(f"{worker.name} loses answers and acts late")
        worker.lose_answers, worker.late_orders = self.rng.uniform(0, 0.5), self.rng.uniform(0, 0.3)
        await asyncio.sleep(self.rng.uniform(1.0, 6.0))
        worker.lose_answers = worker.late_orders = 0.0


__all__ = ["Faults"]
