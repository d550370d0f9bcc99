"""Plan of machine moves between pools.

The demand of each queue comes in bursts: it rises to several times the capacity of its pool and then falls to nearly
nothing. Idle machines move to the standby pool, where they cost nothing. A pool with rising demand gets machines from
the standby pool first and then from pools with a surplus, before its queue grows long. When fewer machines are left than
the pools lack, they are divided by max-min over relative deficits.
"""

from __future__ import annotations

from dataclasses import dataclass

from hyssopway.scheduling.machine_sharing import MachineDeficit, divide_machines

# Spare capacity of a pool beyond its demand, as a multiple of the mean CPU demand of a step; it is at least one VM.
# Without it, tasks that arrive while a machine is moving wait for about 2 s.
RESERVE_STEPS = 1.0
MIN_VMS = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolDemand:
    """Demand and supply of one pool; CPU in millicores.

    Attributes:
        pool: Name of the pool.
        vms: Number of usable VMs that are not cordoned, plus machines that are moving to the pool.
        long_running_millis: CPU of long-running tasks.
        short_millis: CPU that other tasks use or wait for now.
        forecast_millis: CPU that other tasks will need when a machine ordered now arrives.
        mean_step_millis: Mean CPU demand of one step.
        min_spread_vms: Number of VMs that the largest open step with a spread limit needs.
        idle_machines: IDs of machines of the pool on which nothing runs, the longest idle first.
        long_idle_count: Number of these that have been idle long enough to move to the standby pool.
    """

    pool: str
    vms: int
    long_running_millis: int
    short_millis: int
    forecast_millis: float
    mean_step_millis: float
    min_spread_vms: int
    idle_machines: tuple[str, ...]
    long_idle_count: int


@dataclass(frozen=True, slots=True, kw_only=True)
class MachineMove:
    """A move of one machine between pools.

    Attributes:
        machine_id: ID of the machine.
        source: Name of its present pool.
        target: Name of its next pool.
    """

    machine_id: str
    source: str
    target: str


def required_vms(demand: PoolDemand, *, vm_millis: int) -> int:
    """Returns the number of VMs that the pool needs when a machine ordered now arrives.

    Args:
        demand: Demand of the pool.
        vm_millis: CPU of one VM in millicores.
    """
    reserve = max(float(vm_millis), RESERVE_STEPS * demand.mean_step_millis)
    by_load = -(-int(_expected_millis(demand) + reserve) // vm_millis)
    return max(MIN_VMS, demand.min_spread_vms, by_load)


def _expected_millis(demand: PoolDemand) -> float:
    return demand.long_running_millis + max(demand.short_millis, demand.forecast_millis)


def plan_moves(
    *,
    demands: list[PoolDemand],
    standby: str,
    standby_machines: list[str],
    vm_millis: int,
) -> list[MachineMove]:
    """Returns the moves to order now; moves to the pool with the largest deficit come first.

    When there are fewer machines than deficits, moves to the pool with the largest relative deficit come first, and each
    move counts before the next is planned.

    Args:
        demands: Demand of all pools except the standby pool.
        standby: Name of the standby pool; empty when there is none.
        standby_machines: IDs of the machines in the standby pool.
        vm_millis: CPU of one VM in millicores.
    """
    required = {demand.pool: required_vms(demand, vm_millis=vm_millis) for demand in demands}
    by_deficit = sorted(demands, key=lambda demand: demand.vms - required[demand.pool])
    available = [(machine, standby) for machine in standby_machines]
    surplus = {
        demand.pool: min(len(demand.idle_machines), demand.vms - required[demand.pool]) for demand in demands
    }
    for demand in demands:
        available += [
            (machine, demand.pool) for machine in demand.idle_machines[: max(0, surplus[demand.pool])]
        ]
    long_idle = {machine for demand in demands for machine in demand.idle_machines[: demand.long_idle_count]}
    deficits = [
        MachineDeficit(
            pool=demand.pool,
            vms=demand.vms,
            required=required[demand.pool],
            demanded=max(MIN_VMS, demand.min_spread_vms, _expected_millis(demand) / vm_millis),
        )
        for demand in by_deficit
    ]
    targets = [deficit.pool for deficit in deficits for _ in range(deficit.missing)]
    if len(targets) > len(available):
        targets = divide_machines(deficits, machines=len(available))
    moves = [
        MachineMove(machine_id=machine, source=source, target=target)
        for (machine, source), target in zip(available, targets, strict=False)
    ]
    if standby:
        moves += [
            MachineMove(machine_id=machine, source=source, target=standby)
            for machine, source in available[len(targets) :]
            if source != standby and machine in long_idle
        ]
    return moves


__all__ = ["MachineMove", "PoolDemand", "plan_moves", "required_vms"]
