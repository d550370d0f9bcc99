"""Troubles for tasks that are spread over VMs: slow and joining VMs, moved queues, and late commits."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from .leader_events import find_leader_name

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine

    from .nodes import Node
    from .worker_vm import WorkerVm

# Longer than a leader waits for a commit (3 s), and less than two waits.
HOLD_S = (3.3, 5.8)
# Pause between two times in which commits are held up, so that leaders learn which runs are slow.
HOLD_PAUSE_S = (2.0, 5.0)
# Rounds go on while disks stall, but not while followers are suspended, which confirm no leader.
STALL_SHARE = 0.75
# Other faults of control nodes end within this time, in most cases.
HEALTH_CHECK_S = 0.1
HEALTH_CHECKS = 60
FAILURE_SHARE = 0.12


class SpreadTroubles:
    """Injects the troubles in series that overlap.

    Attributes:
        rng: Random source, apart from those of all other faults.
        controls: Control nodes.
        workers: VMs of the pools in which spread tasks run.
        move_queue: Puts a document into force that leads the queue of the spread tasks to a pool.
        log_fault: Takes the description of a fault.
        list_faulted: Returns the names of the nodes that another fault affects.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        controls: list[Node],
        workers: list[WorkerVm],
        move_queue: Callable[[str], Coroutine[Any, Any, None]],
        log_fault: Callable[[str], None],
        list_faulted: Callable[[], set[str]],
    ) -> None:
        self.rng = rng
        self.controls = controls
        self.workers = workers
        self.move_queue = move_queue
        self.log_fault = log_fault
        self.list_faulted = list_faulted

    async def run(self, *, for_s: float) -> None:
        """Injects troubles and ends all of them.

        Args:
            for_s: Duration in seconds during which new troubles start; 0 for none.
        """
        deadline = time.monotonic() + for_s
        for worker in self.workers:
            worker.failure_share = FAILURE_SHARE
        series = (
            (self._slow_vm, (0.0, 1.0)),
            (self._slow_vm, (0.0, 1.0)),
            (self._rejoin_vm, (1.0, 4.0)),
            (self._move_queue, (3.0, 9.0)),
            (self._hold_up_commits, HOLD_PAUSE_S),
        )
        if for_s:
            await asyncio.gather(*(self._run_series(*one, deadline=deadline) for one in series))

    async def _run_series(
        self,
        trouble: Callable[[], Coroutine[Any, Any, None]],
        pause_s: tuple[float, float],
        *,
        deadline: float,
    ) -> None:
        await asyncio.sleep(self.rng.uniform(*pause_s))
        while time.monotonic() < deadline:
            await trouble()
            await asyncio.sleep(self.rng.uniform(*pause_s))

    async def _slow_vm(self) -> None:
        worker = self.rng.choice(self.workers)
        slowdown, seconds = self.rng.choice((3.0, 5.0, 8.0)), self.rng.uniform(1.0, 4.0)
        failure_share = self.rng.choice((FAILURE_SHARE, FAILURE_SHARE, 0.8))
        self.log_fault(
            f"{worker.name} works {slowdown:.0f} times as long for {seconds:.1f} s, fails {failure_share}"
        )
        worker.slowdown, worker.failure_share = slowdown, failure_share
        await asyncio.sleep(seconds)
        worker.slowdown, worker.failure_share = 1.0, FAILURE_SHARE

    async def _rejoin_vm(self) -> None:
        """Ends a VM; its machine joins with another one while tasks wait."""
        worker, down_s = self.rng.choice(self.workers), self.rng.uniform(0.3, 2.0)
        self.log_fault(f"{worker.vm_id} ends, its machine joins after {down_s:.1f} s")
        worker.crash(down_s=down_s)
        await asyncio.sleep(down_s)

    async def _move_queue(self) -> None:
        for pool in ("trams", "cars"):
            self.log_fault(f"the queue of the spread tasks leads to {pool}")
            await self.move_queue(pool)
            await asyncio.sleep(self.rng.uniform(0.0, 0.6))

    async def _hold_up_commits(self) -> None:
        """Suspends the followers or stalls their disks, so that no majority confirms what the leader proposes."""
        for _ in range(HEALTH_CHECKS):
            if not self.list_faulted() & {node.name for node in self.controls}:
                break
            await asyncio.sleep(HEALTH_CHECK_S)
        leader = find_leader_name([node.output for node in self.controls])
        held = [node for node in self.controls if node.name != leader]
        seconds, stalls = self.rng.uniform(*HOLD_S), self.rng.random() < STALL_SHARE
        names = ", ".join(node.name for node in held)
        self.log_fault(f"{'disk stalls of' if stalls else 'suspend'} {names} for {seconds:.1f} s")
        for node in held:
            node.stall_disk() if stalls else node.suspend()
        await asyncio.sleep(seconds)
        for node in held:
            node.release_disk() if stalls else node.resume()


__all__ = ["SpreadTroubles"]
