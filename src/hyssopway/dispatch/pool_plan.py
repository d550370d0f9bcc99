"""Decides which machines move between pools.

Answers the load pattern of queues whose demand rises in turn to several times what their pool holds and then falls
to nearly nothing: idle machines leave for the standby pool, where they cost nothing, and a pool whose demand rises
gets machines from there, and from pools that have more than they need, before its queue grows long.
"""

from __future__ import annotations

from dataclasses import dataclass

# A pool keeps room beyond its demand for this many steps of the usual width, and for one VM at least: work that
# arrives while a machine is on its way waits for about 2 s otherwise.
RESERVE_STEPS = 1.0
MIN_VMS = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolDemand:
    """Demand of one pool and what it has.

    Attributes:
        pool: Name of the pool.
        vms: VMs that take work and are not being emptied, and machines on their way to the pool.
        long_running_millis: Processor of long-running tasks.
        short_millis: Processor that other tasks use or wait for now.
        forecast_millis: Processor that other tasks need when a machine ordered now arrives.
        step_millis: Processor of one step of the usual width.
        spread_vms: VMs that the widest step with a limit on tasks a VM needs.
        idle_machines: Machines of the pool on which nothing runs, the longest idle first.
        long_idle: Number of these that have been idle for longer than a move there and back is worth.
    """

    pool: str
    vms: int
    long_running_millis: int
    short_millis: int
    forecast_millis: float
    step_millis: float
    spread_vms: int
    idle_machines: tuple[str, ...]
    long_idle: int


@dataclass(frozen=True, slots=True, kw_only=True)
class MachineMove:
    """A machine to move.

    Attributes:
        machine_id: The machine.
        source: Its present pool.
        target: Its next pool.
    """

    machine_id: str
    source: str
    target: str


def wanted_vms(demand: PoolDemand, *, vm_millis: int) -> int:
    """Returns the number of VMs that serve a pool's demand when a machine ordered now arrives."""
    expected = max(demand.short_millis, demand.forecast_millis)
    reserve = max(float(vm_millis), RESERVE_STEPS * demand.step_millis)
    by_load = -(-int(demand.long_running_millis + expected + reserve) // vm_millis)
    return max(MIN_VMS, demand.spread_vms, by_load)


def plan_moves(
    *,
    demands: list[PoolDemand],
    standby: str,
    standby_machines: list[str],
    vm_millis: int,
) -> list[MachineMove]:
    """Returns the moves to order now, those that bring capacity to the pool that lacks most first.

    Args:
        demands: All pools but the standby pool.
        standby: Name of the standby pool; empty when there is none.
        standby_machines: Machines that wait there.
        vm_millis: Processor of one VM in thousandths of a core.
    """
    wanted = {one.pool: wanted_vms(one, vm_millis=vm_millis) for one in demands}
    lacking = sorted(demands, key=lambda one: one.vms - wanted[one.pool])
    spare = [(machine, standby) for machine in standby_machines]
    surplus = {one.pool: min(len(one.idle_machines), one.vms - wanted[one.pool]) for one in demands}
    for one in demands:
        spare += [(machine, one.pool) for machine in one.idle_machines[: max(0, surplus[one.pool])]]
    may_park = {machine for one in demands for machine in one.idle_machines[: one.long_idle]}
    moves: list[MachineMove] = []
    for one in lacking:
        for _ in range(max(0, wanted[one.pool] - one.vms)):
            if not spare:
                return moves
            machine, source = spare.pop(0)
            moves.append(MachineMove(machine_id=machine, source=source, target=one.pool))
    if standby:
        moves += [
            MachineMove(machine_id=machine, source=source, target=standby)
            for machine, source in spare
            if source != standby and machine in may_park
        ]
    return moves


__all__ = ["MachineMove", "PoolDemand", "plan_moves", "wanted_vms"]
