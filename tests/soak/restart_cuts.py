"""Restarts VMs under their ID, cuts them off soon after and ends the leader in between."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .leader_events import find_leader_name

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from .nodes import Node
    from .worker_vm import WorkerVm

VMS_PER_WAVE = 2
WAVE_PAUSE_S = (3.0, 6.0)
# The next leader has to lead for longer than a lease before it ends, or it starts nothing again.
LEADER_REST_S = 8.0
# Calls to the VM are held back before it restarts and for a moment after.
HELD_SHARE = 0.6
HELD_BEFORE_S = (0.2, 0.8)
HELD_AFTER_S = (0.0, 0.4)
DOWN_S = (0.0, 0.05, 0.3)
MAX_GAP_S = 3.0
CUT_S = (5.0, 9.0)
# The leader ends around the time at which the first VM of a wave is cut off.
LEADER_END_S = (-0.4, 0.6)
KILLED_S = (0.5, 3.0)
SUSPENDED_S = (5.0, 8.0)


@dataclass(slots=True, kw_only=True)
class WindowCounts:
    """How often a run came into the order of events at which the series aims.

    Attributes:
        cuts: VMs that were cut off within `MAX_GAP_S` seconds after a restart under their ID.
        leader_ends: Cuts with the leader ended between the restart and the end of the cut.
        crossed_ends: These whose boot carried out calls meanwhile that were sent to the boot before.
    """

    cuts: int = 0
    leader_ends: int = 0
    crossed_ends: int = 0


class RestartCuts:
    """Injects the restarts and cuts in waves that overlap.

    Attributes:
        rng: Random source, apart from those of all other faults.
        controls: Control nodes.
        workers: VMs to restart and cut off.
        log_fault: Takes the description of a fault.
        busy: Names of the VMs that are being restarted or are cut off.
        counts: How often the run came into the order of events.
        leader_ends: Monotonic time in seconds of each end of a leader.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        controls: list[Node],
        workers: list[WorkerVm],
        log_fault: Callable[[str], None],
    ) -> None:
        self.rng = rng
        self.controls = controls
        self.workers = workers
        self.log_fault = log_fault
        self.busy: set[str] = set()
        self.counts = WindowCounts()
        self.leader_ends: list[float] = []

    async def run(self, *, for_s: float) -> None:
        """Injects waves and waits until all of them have ended.

        Args:
            for_s: Duration in seconds during which new waves start; none if it isn't positive.
        """
        deadline, waves = time.monotonic() + for_s, []
        while time.monotonic() < deadline:
            await asyncio.sleep(self.rng.uniform(*WAVE_PAUSE_S))
            waves.append(asyncio.create_task(self._run_wave()))
        await asyncio.gather(*waves)

    def describe(self) -> str:
        """Returns a summary of one line."""
        carried_over = sum((worker.held_calls.carried_over for worker in self.workers), Counter())
        return (
            f"{self.counts.cuts} VMs cut off within {MAX_GAP_S:.0f} s after a restart, "
            f"{self.counts.leader_ends} with the leader ended, {self.counts.crossed_ends} of these with calls to an earlier boot, "
            f"{dict(sorted(carried_over.items()))} carried out by a later boot"
        )

    async def _run_wave(self) -> None:
        idle = [worker for worker in self.workers if worker.name not in self.busy]
        workers = self.rng.sample(idle, min(VMS_PER_WAVE, len(idle)))
        gap_s, held_s = self.rng.uniform(0.0, MAX_GAP_S), self.rng.uniform(*HELD_BEFORE_S)
        gaps_s = [gap_s, *(self.rng.uniform(0.0, MAX_GAP_S) for _ in workers[1:])]
        await asyncio.gather(
            self._end_leader(after_s=held_s + gap_s + self.rng.uniform(*LEADER_END_S)),
            *(
                self._restart_and_cut(worker, held_s=held_s, gap_s=one)
                for worker, one in zip(workers, gaps_s, strict=False)
            ),
        )

    async def _restart_and_cut(self, worker: WorkerVm, *, held_s: float, gap_s: float) -> None:
        down_s, cut_s = self.rng.choice(DOWN_S), self.rng.uniform(*CUT_S)
        held_after_s, is_silent = min(gap_s, self.rng.uniform(*HELD_AFTER_S)), self.rng.random() < 0.5
        self.busy.add(worker.name)
        worker.held_calls.share = HELD_SHARE
        await asyncio.sleep(held_s)
        restarted_at, earlier = time.monotonic(), worker.held_calls.carried_over.total()
        self.log_fault(f"restart {worker.vm_id} under its ID after {down_s} s, to be cut off")
        worker.crash(down_s=down_s, keeps_id=True)
        await asyncio.sleep(held_after_s)
        worker.held_calls.share = 0.0
        await asyncio.sleep(gap_s - held_after_s)
        self.log_fault(f"cut {worker.vm_id} off for {cut_s:.1f} s, silent: {is_silent}")
        worker.cut_off(for_s=cut_s, is_silent=is_silent)
        await asyncio.sleep(cut_s)
        self.busy.discard(worker.name)
        is_leader_ended = any(at >= restarted_at for at in self.leader_ends)
        self.counts.cuts += 1
        self.counts.leader_ends += is_leader_ended
        self.counts.crossed_ends += is_leader_ended and worker.held_calls.carried_over.total() > earlier

    async def _end_leader(self, *, after_s: float) -> None:
        """Kills or suspends the leader, unless the last end of a leader was a short time ago."""
        is_killed = self.rng.random() < 0.5
        seconds = self.rng.uniform(*(KILLED_S if is_killed else SUSPENDED_S))
        await asyncio.sleep(after_s)
        name = find_leader_name([node.output for node in self.controls])
        leader = next((node for node in self.controls if node.name == name), None)
        is_early = self.leader_ends and time.monotonic() - self.leader_ends[-1] < LEADER_REST_S
        if leader is None or is_early:
            return
        self.leader_ends.append(time.monotonic())
        self.log_fault(f"{'kill' if is_killed else 'suspend'} the leader {name} for {seconds:.1f} s")
        leader.kill() if is_killed else leader.suspend()
        await asyncio.sleep(seconds)
        leader.start() if is_killed else leader.resume()


__all__ = ["RestartCuts", "WindowCounts"]
