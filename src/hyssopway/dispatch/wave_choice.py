"""Selection of the machines of a maintenance wave that are drained next.

A wave must end before its deadline while the demand of the pools rises and falls in bursts. Machines with the least
CPU in use go first. Machines of a pool with waiting tasks, and more than a bounded share of a pool, are selected only
when the wave would miss its deadline otherwise. Machines with long-running tasks are selected earlier, because these tasks
are stopped one after another within the allowance of their step.
"""

from __future__ import annotations

from dataclasses import dataclass

# Share of a pool that may be cordoned or down at once; it applies neither to idle machines nor to a late wave.
MAX_POOL_SHARE = 0.34
# Time that one machine needs from its selection until it is back.
MACHINE_CYCLE_S = 5.0
# Time until the next long-running task of a VM may be stopped: the one before has to be at work on another VM.
LONG_RUNNING_STOP_S = 3.0
# A wave should end this long before its deadline.
DEADLINE_MARGIN_S = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveCandidate:
    """A machine whose maintenance in a wave has not begun.

    Attributes:
        machine_id: ID of the machine.
        vm_id: ID of its VM.
        pool: Name of its pool.
        busy_millis: CPU in use on the VM in millicores.
        waiting_millis: CPU demand of tasks that wait for the pool in millicores.
        long_running: Number of long-running tasks on the VM.
    """

    machine_id: str
    vm_id: str
    pool: str
    busy_millis: int
    waiting_millis: int
    long_running: int = 0


def select_machines(
    *,
    candidates: list[WaveCandidate],
    pool_sizes: dict[str, int],
    unavailable_by_pool: dict[str, int],
    max_added: int,
    remaining_s: float,
    max_down: int,
) -> list[WaveCandidate]:
    """Returns the machines to drain now.

    Args:
        candidates: Machines whose maintenance has not begun.
        pool_sizes: Number of VMs by pool.
        unavailable_by_pool: Number of VMs that are cordoned or down for the wave, by pool.
        max_added: Number of machines that may join those that are draining or down.
        remaining_s: Seconds until the deadline of the wave.
        max_down: Largest number of machines that may be down at once.
    """
    remaining_rounds = -(-len(candidates) // max(1, max_down))
    needed_s = remaining_rounds * MACHINE_CYCLE_S + DEADLINE_MARGIN_S
    late = {
        candidate.machine_id
        for candidate in candidates
        if remaining_s < needed_s + candidate.long_running * LONG_RUNNING_STOP_S
    }
    selected: list[WaveCandidate] = []
    unavailable = dict(unavailable_by_pool)
    for candidate in sorted(
        candidates,
        key=lambda candidate: (
            candidate.machine_id not in late,
            candidate.waiting_millis > 0,
            candidate.busy_millis,
            candidate.machine_id,
        ),
    ):
        if len(selected) >= max_added:
            break
        max_unavailable = max(1, int(pool_sizes.get(candidate.pool, 1) * MAX_POOL_SHARE))
        is_idle = candidate.busy_millis == 0 and candidate.waiting_millis == 0
        if (
            candidate.machine_id not in late
            and not is_idle
            and (unavailable.get(candidate.pool, 0) >= max_unavailable or candidate.waiting_millis > 0)
        ):
            continue
        selected.append(candidate)
        unavailable[candidate.pool] = unavailable.get(candidate.pool, 0) + 1
    return selected


__all__ = ["WaveCandidate", "select_machines"]
