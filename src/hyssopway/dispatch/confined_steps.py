"""Finds steps whose tasks can run only on VMs with a bad rating, so that the rating must not hold them back."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from hyssopway.scheduling.rating import Rating
from hyssopway.scheduling.retries import can_run

from .free_vms import is_open

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from hyssopway.workflow import RunStart, VmRecord

    from .dispatcher import Dispatcher
    from .ready_step import ReadyStep


def find_confined_steps(
    ready: list[ReadyStep],
    *,
    starts: list[RunStart],
    pool_of: Callable[[ReadyStep], str],
    dispatcher: Dispatcher,
) -> list[ReadyStep]:
    """Returns the steps that can run only on VMs with a bad rating, with the tasks that are still to be placed.

    Args:
        ready: Steps with tasks that wait.
        starts: Starts that were placed on other VMs, or as probes.
        pool_of: Returns the pool of a step.
        dispatcher: Dispatcher of the leader.
    """
    vms = dispatcher.leadership.state.tables.vms
    rated_pools = {vms[vm_id].pool for vm_id in dispatcher.ratings.list_avoided() if vm_id in vms}
    if not rated_pools:
        return []
    preferred = _list_preferred(rated_pools, dispatcher=dispatcher)
    placed = {start.task for start in starts}
    runnable: set[tuple[str, int, int, int, str, bool]] = set()  # on a VM without a bad rating
    confined: list[ReadyStep] = []
    for ready_step in ready:
        pool = pool_of(ready_step)
        if pool not in rated_pools:
            continue
        step = ready_step.step
        needs = (pool, step.cpu_millis, step.memory_mb, step.accelerators, step.label, step.fills)
        if ready_step.approved_vms is None and needs in runnable:
            continue
        if any(_may_run(ready_step, vm=vm) for vm in preferred[pool]):
            runnable.add(needs)
            continue
        indexes = [index for index in ready_step.indexes if ready_step.task_name(index) not in placed]
        if indexes:
            confined.append(replace(ready_step, indexes=indexes))
    return confined


def _list_preferred(pools: Collection[str], *, dispatcher: Dispatcher) -> dict[str, list[VmRecord]]:
    """Returns the VMs without a bad rating that are open to starts, by pool.

    One that is out of contact counts until it is silent: after a pause of the leader, a bad VM may be the first to answer.
    """
    now = dispatcher.leadership.clock()
    preferred: dict[str, list[VmRecord]] = {pool: [] for pool in pools}
    for vm_id, record in dispatcher.leadership.state.tables.vms.items():
        if record.pool not in preferred or dispatcher.ratings.rating(vm_id) is not Rating.PREFERRED:
            continue
        link = dispatcher.links.get(vm_id)
        if link is not None and not link.is_silent(now) and is_open(dispatcher, record):
            preferred[record.pool].append(record)
    return preferred


def _may_run(ready_step: ReadyStep, *, vm: VmRecord) -> bool:
    """Returns whether a VM may run a task of a step when it is empty."""
    return can_run(ready_step.step, vm=vm) and ready_step.is_approved(vm.vm_id)


__all__ = ["find_confined_steps"]
