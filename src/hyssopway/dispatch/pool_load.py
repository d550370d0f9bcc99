"""Load of each pool, as one leader sees it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hyssopway.workflow import TaskId

if TYPE_CHECKING:
    from hyssopway.workflow import Tables


@dataclass(slots=True, kw_only=True)
class PoolLoad:
    """Load of one pool.

    Attributes:
        vms: VMs that do not drain.
        capacity_millis: Processor of these VMs.
        memory_mb: Memory of these VMs.
        steady_millis: Processor in use by long-running tasks.
        short_millis: Processor in use by other tasks.
        steady_memory_mb: Memory in use by long-running tasks.
        waiting_millis: Processor that waiting tasks ask for.
    """

    vms: int = 0
    capacity_millis: int = 0
    memory_mb: int = 0
    long_running_millis: int = 0
    short_millis: int = 0
    steady_memory_mb: int = 0
    waiting_millis: int = 0


def measure_pools(*, tables: Tables, waiting_millis: dict[str, int]) -> dict[str, PoolLoad]:
    """Returns the load of each pool that has VMs or waiting work."""
    loads: dict[str, PoolLoad] = {}
    for vm in tables.vms.values():
        load = loads.setdefault(vm.pool, PoolLoad())
        if not vm.draining:
            load.vms += 1
            load.capacity_millis += vm.capacity.cpu_millis
            load.memory_mb += vm.capacity.memory_mb
        for key in vm.runs:
            _count_run(tables, load=load, key=key)
    for pool, waiting in waiting_millis.items():
        loads.setdefault(pool, PoolLoad()).waiting_millis = waiting
    return loads


def _count_run(tables: Tables, *, load: PoolLoad, key: str) -> None:
    task = TaskId.parse(key.rpartition("/")[0])
    step = tables.workflows[task.workflow].spec.steps[task.step]
    if step.fills:
        return
    if step.long_running:
        load.long_running_millis += step.cpu_millis
        load.steady_memory_mb += step.memory_mb
    else:
        load.short_millis += step.cpu_millis


__all__ = ["PoolLoad", "measure_pools"]
