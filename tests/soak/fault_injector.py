"""Injects random faults; several may be active at the same time."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from .proxy import NetworkFault

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine
    from pathlib import Path

    from .nodes import Node
    from .proxy import Proxy
    from .worker_vm import WorkerVm

# Only one control node may lose its disk at a time; the control group needs this long to replace the member.
MIN_WIPE_INTERVAL_S = 12.0


class FaultInjector:
    """Injects faults into processes, connections and worker VMs.

    Attributes:
        rng: Random source for the kinds, targets and durations of faults.
        restart_rng: The same for restarts of VMs under their ID and changes of keys, which overlap with the others.
        controls: Control nodes; none if another series ends them.
        entries: Entry nodes.
        proxies: Proxies in front of entry nodes and worker VMs.
        workers: Worker VMs.
        configure: Writes the settings of a node that lost its disk.
        put_config: Changes whether the key of a team is granted.
        log: Injected faults, each with the seconds since the start.
        log_file: File that receives the same lines while the run is in progress.
        faulted_nodes: Names of nodes with a fault in progress.
        wiped_at: Monotonic time in seconds at which a disk was last wiped.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        restart_rng: random.Random,
        controls: list[Node],
        entries: list[Node],
        proxies: list[Proxy],
        workers: list[WorkerVm],
        configure: Callable[[Node], None],
        put_config: Callable[[bool], Coroutine[Any, Any, None]],
        log_file: Path,
    ) -> None:
        self.rng = rng
        self.restart_rng = restart_rng
        self.controls = controls
        self.entries = entries
        self.proxies = proxies
        self.workers = workers
        self.configure = configure
        self.put_config = put_config
        self.log: list[str] = []
        self.log_file = log_file
        self.faulted_nodes: set[str] = set()
        self.wiped_at = float("-inf")
        self.started_at = time.monotonic()
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, *, for_s: float) -> None:
        """Injects faults and waits until all of them have ended.

        Args:
            for_s: Duration in seconds during which new faults start.
        """
        deadline = time.monotonic() + for_s
        kinds: list[Callable[[], Coroutine[Any, Any, None]]] = [
            self._kill,
            self._suspend,
            self._restart,
            *([self._wipe, self._kill_all] if self.controls else []),
            self._inject_network_fault,
            self._inject_network_fault,
            self._crash_worker,
            self._degrade_worker,
        ]
        restarts = [self._restart_worker, self._restart_worker, self._change_keys]
        await asyncio.gather(
            self._run_series(kinds, rng=self.rng, deadline=deadline),
            self._run_series(restarts, rng=self.restart_rng, deadline=deadline),
        )
        await asyncio.gather(*self.tasks)

    async def _run_series(
        self,
        kinds: list[Callable[[], Coroutine[Any, Any, None]]],
        *,
        rng: random.Random,
        deadline: float,
    ) -> None:
        while time.monotonic() < deadline:
            task = asyncio.create_task(rng.choice(kinds)())
            self.tasks.add(task)
            await asyncio.sleep(rng.expovariate(0.7))

    def log_fault(self, text: str) -> None:
        """Logs a fault with the time."""
        self.log.append(f"{time.monotonic() - self.started_at:7.2f} {text}")
        with self.log_file.open("a") as stream:
            stream.write(f"{time.strftime('%H:%M:%S')} {self.log[-1]}\n")

    def _start(self, node: Node) -> None:
        self.log_fault(f"start {node.name}")
        node.start()

    def _choose_healthy_node(self, nodes: list[Node]) -> Node | None:
        healthy = [node for node in nodes if node.name not in self.faulted_nodes]
        return self.rng.choice(healthy) if healthy else None

    async def _kill(self) -> None:
        node = self._choose_healthy_node([*self.controls, *self.entries])
        if node is not None:
            self.faulted_nodes.add(node.name)
            self.log_fault(f"kill {node.name}")
            node.kill()
            await asyncio.sleep(self.rng.uniform(0.1, 3.0))
            self._start(node)
            self.faulted_nodes.discard(node.name)

    async def _suspend(self) -> None:
        node = self._choose_healthy_node([*self.controls, *self.entries])
        if node is not None:
            self.faulted_nodes.add(node.name)
            seconds = self.rng.choice((0.2, 0.6, 2.0, 6.0))
            self.log_fault(f"suspend {node.name} for {seconds} s")
            node.suspend()
            await asyncio.sleep(seconds)
            node.resume()
            self.faulted_nodes.discard(node.name)

    async def _restart(self) -> None:
        node = self._choose_healthy_node([*self.controls, *self.entries])
        if node is not None:
            self.faulted_nodes.add(node.name)
            self.log_fault(f"restart {node.name}")
            node.terminate()
            status = await asyncio.to_thread(node.wait)
            self.log_fault(f"{node.name} exited with status {status}")
            self._start(node)
            self.faulted_nodes.discard(node.name)

    async def _wipe(self) -> None:
        now = time.monotonic()
        controls = {node.name for node in self.controls}
        if (
            self.faulted_nodes & controls
            or now - self.wiped_at < MIN_WIPE_INTERVAL_S
            or now - self.started_at < MIN_WIPE_INTERVAL_S
        ):
            return
        node = self.rng.choice(self.controls)
        # No other control node may fail until the control group has replaced the member.
        self.wiped_at = now
        self.faulted_nodes |= controls
        self.log_fault(f"wipe {node.name}")
        node.kill()
        node.wipe()
        self.configure(node)
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        self._start(node)
        await asyncio.sleep(6.0)
        self.faulted_nodes -= controls

    async def _kill_all(self) -> None:
        if self.faulted_nodes & {node.name for node in self.controls}:
            return
        self.faulted_nodes |= {node.name for node in self.controls}
        self.log_fault("kill all control nodes")
        for node in self.controls:
            node.kill()
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        for node in self.controls:
            self._start(node)
        await asyncio.sleep(1.0)
        self.faulted_nodes -= {node.name for node in self.controls}

    async def _inject_network_fault(self) -> None:
        proxy = self.rng.choice(self.proxies)
        fault = self.rng.choice([one for one in NetworkFault if one is not NetworkFault.NONE])
        seconds = self.rng.uniform(0.2, 4.0)
        self.log_fault(f"{fault} in front of {proxy.target} for {seconds:.1f} s")
        proxy.set(fault, delay_s=self.rng.uniform(0.05, 0.6))
        await asyncio.sleep(seconds)
        proxy.set(NetworkFault.NONE)

    async def _crash_worker(self) -> None:
        worker = self.rng.choice(self.workers)
        self.log_fault(f"crash {worker.vm_id}")
        worker.crash()

    async def _restart_worker(self) -> None:
        """Restarts a VM under its ID some times, so that orders meet each boot."""
        rng = self.restart_rng
        worker = rng.choice(self.workers)
        for _ in range(rng.choice((1, 2, 4))):
            down_s = rng.choice((0.05, 0.4, 1.5))
            self.log_fault(f"restart {worker.vm_id} under its ID after {down_s} s")
            worker.crash(down_s=down_s, keeps_id=True)
            await asyncio.sleep(down_s + rng.uniform(0.2, 1.5))

    async def _change_keys(self) -> None:
        """Withdraws the key of a team whose callers go on to use it, and grants it again."""
        for grants_guest in (False, True):
            self.log_fault(f"key of the guest granted: {grants_guest}")
            await self.put_config(grants_guest)
            await asyncio.sleep(self.restart_rng.uniform(0.1, 1.0))

    async def _degrade_worker(self) -> None:
        worker = self.rng.choice(self.workers)
        self.log_fault(f"{worker.name} drops responses and delays calls")
        worker.lost_response_share, worker.delayed_call_share = (
            self.rng.uniform(0, 0.5),
            self.rng.uniform(0, 0.3),
        )
        await asyncio.sleep(self.rng.uniform(1.0, 6.0))
        worker.lost_response_share = worker.delayed_call_share = 0.0


__all__ = ["FaultInjector"]
