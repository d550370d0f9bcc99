"""CPU and memory load of each pool, as the leader sees it."""

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
        vms: Number of VMs that are not draining.
        capacity_millis: CPU of these VMs in millicores.
        memory_mb: Memory of these VMs in megabytes.
        long_running_millis: Millicores in use by long-running tasks.
        short_millis: Millicores in use by other tasks, without best-effort tasks.
        long_running_memory_mb: Megabytes in use by long-running tasks.
        waiting_millis: Millicores that waiting tasks request.
    """

    vms: int = 0
    capacity_millis: int = 0
    memory_mb: int = 0
    long_running_millis: int = 0
    short_millis: int = 0
    long_running_memory_mb: int = 0
    waiting_millis: int = 0


def measure_pools(*, tables: Tables, waiting_millis: dict[str, int]) -> dict[str, PoolLoad]:
    """Returns the load of each pool that has VMs or waiting tasks.

    Args:
        tables: Replicated data.
        waiting_millis: CPU demand of waiting tasks in millicores by pool.
    """
    loads: dict[str, PoolLoad] = {}
    for vm in tables.vms.values():
        load = loads.setdefault(vm.pool, PoolLoad())
        if not vm.draining:
            load.vms += 1
            load.capacity_millis += vm.capacity.cpu_millis
            load.memory_mb += vm.capacity.memory_mb
        for key in vm.runs:
            _add_run(tables, load=load, key=key)
    for pool, waiting in waiting_millis.items():
        loads.setdefault(pool, PoolLoad()).waiting_millis = waiting
    return loads


def _add_run(tables: Tables, *, load: PoolLoad, key: str) -> None:
    task = TaskId.parse(key.rpartition("/")[0])
    step = tables.workflows[task.workflow].spec.steps[task.step]
    if step.fills:
        return
    if step.long_running:
        load.long_running_millis += step.cpu_millis
        load.long_running_memory_mb += step.memory_mb
    else:
        load.short_millis += step.cpu_millis


__all__ = ["PoolLoad", "measure_pools"]
