"""Decides which machines of a wave are emptied next.

Answers the load pattern of a wave that must end in time while the demand of the pools rises and falls by turns:
machines with the least work go first, machines of a pool with waiting work only when the wave would be late, and
never so many of a pool that little of it is left.
"""

from __future__ import annotations

from dataclasses import dataclass

# Share of a pool that a wave may keep closed or down at once, unless the pool has no work.
MAX_POOL_SHARE = 0.34
# Time that one machine needs from its choice until it is back.
CYCLE_S = 5.0
# The wave should end this long before its deadline.
MARGIN_S = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A machine that waits for its maintenance.

    Attributes:
        machine_id: The machine.
        vm_id: Its VM.
        pool: Its pool.
        busy_millis: Processor in use on it.
        waiting_millis: Processor that waits for the pool.
    """

    machine_id: str
    vm_id: str
    pool: str
    busy_millis: int
    waiting_millis: int


def choose_machines(
    *,
    candidates: list[Candidate],
    pool_sizes: dict[str, int],
    closed_by_pool: dict[str, int],
    room: int,
    left_s: float,
    max_down: int,
) -> list[Candidate]:
    """Returns the machines to empty now.

    Args:
        candidates: Machines that have not begun.
        pool_sizes: Number of VMs by pool.
        closed_by_pool: VMs that are closed or down for the wave by pool.
        room: Number of machines that may be added to those being emptied or down.
        left_s: Time until the deadline.
        max_down: Most machines down at once.
    """
    rounds_left = -(-len(candidates) // max(1, max_down))
    is_pressed = left_s < rounds_left * CYCLE_S + MARGIN_S
    chosen: list[Candidate] = []
    closed = dict(closed_by_pool)
    for one in sorted(candidates, key=lambda one: (one.waiting_millis > 0, one.busy_millis, one.machine_id)):
        if len(chosen) >= room:
            break
        most = max(1, int(pool_sizes.get(one.pool, 1) * MAX_POOL_SHARE))
        is_idle = one.busy_millis == 0 and one.waiting_millis == 0
        if not is_pressed and not is_idle and (closed.get(one.pool, 0) >= most or one.waiting_millis > 0):
            continue
        chosen.append(one)
        closed[one.pool] = closed.get(one.pool, 0) + 1
    return chosen


__all__ = ["Candidate", "choose_machines"]
