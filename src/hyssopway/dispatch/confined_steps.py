"""Finds steps whose tasks can run only on VMs with a bad rating, so that the rating must not hold them back."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from hyssopway.scheduling.retries import can_run
from hyssopway.scheduling.vm_rating import Rating

from .free_vms import find_open_link

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.workflow import RunStart

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
    placed = {start.task for start in starts}
    confined: list[ReadyStep] = []
    for step in ready:
        pool = pool_of(step)
        indexes = [index for index in step.indexes if step.task_name(index) not in placed]
        if indexes and pool in rated_pools and _is_confined(step, pool=pool, dispatcher=dispatcher):
            confined.append(replace(step, indexes=indexes))
    return confined


def _is_confined(ready_step: ReadyStep, *, pool: str, dispatcher: Dispatcher) -> bool:
    """Returns whether each VM in contact that can run a task of a step when it is empty has a bad rating."""
    now = dispatcher.leadership.clock()
    return not any(
        record.pool == pool
        and dispatcher.ratings.rating(vm_id) is Rating.PREFERRED
        and can_run(ready_step.step, vm=record)
        and ready_step.is_approved(vm_id)
        and find_open_link(dispatcher, record, now=now) is not None
        for vm_id, record in dispatcher.leadership.state.tables.vms.items()
    )


__all__ = ["find_confined_steps"]
