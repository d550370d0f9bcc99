"""Chooses tasks to slow down before a worker runs out."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .messages import SyncRequest

# Reports lag by a sync or more, so tasks slow down while some memory is left. Full cores only slow
# tasks down, so they are left alone up to the whole capacity.
THROTTLE_MEMORY_AT = 0.95


def find_throttles(request: SyncRequest, *, reclaimed: list[str]) -> list[str]:
    """Returns reclaimed tasks and, while the worker is nearly full, those that use most.

    Args:
        request: Report of the worker.
        reclaimed: Jobs to be throttled for the sake of others.
    """
    capacity = request.capacity
    cores = sum(task.usage.cores for task in request.running) - capacity.cores
    memory_gb = (
        sum(task.usage.memory_gb for task in request.running) - THROTTLE_MEMORY_AT * capacity.memory_gb
    )
    chosen = dict.fromkeys(reclaimed)
    # A single task that fills the worker takes nothing from others.
    if len(request.running) > 1 and (cores > 0 or memory_gb > 0):
        largest = max(request.running, key=lambda task: (task.usage.dominant_share(capacity), task.job_id))
        chosen[largest.job_id] = None
    return list(chosen)


__all__ = ["find_throttles"]
