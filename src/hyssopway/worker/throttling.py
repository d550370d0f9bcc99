"""Selects tasks to throttle before a worker runs out of resources."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .messages import SyncRequest

# Fraction of memory in use. Reports are at least one sync old, so throttling starts while some memory is left.
# Cores have no such margin, since a shortage of cores only slows tasks down.
MEMORY_THROTTLE_THRESHOLD = 0.95


def select_throttled(request: SyncRequest, *, reclaimed: list[str]) -> list[str]:
    """Returns the reclaimed tasks and, while the worker is nearly full, the task with the largest usage.

    Args:
        request: Report of the worker.
        reclaimed: Jobs whose run is to be throttled because its capacity is reclaimed.
    """
    capacity = request.capacity
    cores = sum(task.usage.cores for task in request.running) - capacity.cores
    memory_gb = (
        sum(task.usage.memory_gb for task in request.running) - MEMORY_THROTTLE_THRESHOLD * capacity.memory_gb
    )
    chosen = dict.fromkeys(reclaimed)
    # A single task that fills the worker takes no resources from other tasks.
    if len(request.running) > 1 and (cores > 0 or memory_gb > 0):
        largest = max(request.running, key=lambda task: (task.usage.dominant_share(capacity), task.job_id))
        chosen[largest.job_id] = None
    return list(chosen)


__all__ = ["select_throttled"]
