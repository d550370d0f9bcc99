"""Decides on which VM each waiting task starts.

Answers the load pattern of queues that ask in turn for several times what their pool holds: steps are served in a
given order, and a task goes to the fullest VM that has room for it, so that whole VMs stay free for wide tasks or can
leave the pool.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.workflow import RunStart, TaskId

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hyssopway.workflow import Step

    from .free_capacity import FreeCapacity
    from .ready_step import ReadyStep


def place_steps(
    *,
    steps: Iterable[ReadyStep],
    rooms: dict[str, list[FreeCapacity]],
    pool_of: Callable[[ReadyStep], str],
    takes_limit: Callable[[ReadyStep], bool],
    max_starts: int,
) -> list[RunStart]:
    """Places waiting tasks.

    Args:
        steps: Steps in the order in which they are served.
        rooms: Free capacity by pool; changed by each placement.
        pool_of: Returns the pool of a step.
        takes_limit: Counts one more task against the upper limit of its team, or tells that it does not fit.
        max_starts: Most starts of one round.

    Returns:
        Starts with the next run number of each task.
    """
    starts: list[RunStart] = []
    for ready in steps:
        found = rooms.get(pool_of(ready))
        if not found:
            continue
        if ready.step.gang:
            starts += _place_gang(ready, rooms=found, takes_limit=takes_limit)
        else:
            starts += _place_tasks(ready, rooms=found, takes_limit=takes_limit, most=max_starts - len(starts))
        if len(starts) >= max_starts:
            break
    return starts


def _place_tasks(
    ready: ReadyStep, *, rooms: list[FreeCapacity], takes_limit: Callable[[ReadyStep], bool], most: int
) -> list[RunStart]:
    starts: list[RunStart] = []
    for index in ready.indexes[: max(0, most)]:
        room = _choose(ready, rooms=rooms)
        if room is None or not takes_limit(ready):
            break
        starts.append(_take(ready, room=room, index=index))
    return starts


def _place_gang(
    ready: ReadyStep, *, rooms: list[FreeCapacity], takes_limit: Callable[[ReadyStep], bool]
) -> list[RunStart]:
    if len(ready.indexes) < ready.step.count:
        return []  # members of the former run have not all ended
    racks = sorted({label for room in rooms for label in room.labels})
    groups = [[room for room in rooms if rack in room.labels] for rack in racks]
    for group in (*groups, rooms) if ready.step.tightly_coupled else (rooms,):
        chosen = _try_gang(ready, rooms=group)
        if chosen is not None and all(takes_limit(ready) for _ in chosen):
            return [
                _take(ready, room=room, index=index, run=_gang_run(ready))
                for index, room in zip(ready.indexes, chosen, strict=True)
            ]
    return []


def _try_gang(ready: ReadyStep, *, rooms: list[FreeCapacity]) -> list[FreeCapacity] | None:
    free = {room.vm_id: [room.cpu_millis, room.memory_mb, room.accelerators] for room in rooms}
    placed = dict(ready.placed)
    step = ready.step
    chosen: list[FreeCapacity] = []
    for _ in ready.indexes:
        for room in sorted(rooms, key=lambda room: -free[room.vm_id][0]):
            cpu, memory, accelerators = free[room.vm_id]
            spread_ok = not step.spread_limit or placed.get(room.vm_id, 0) < step.spread_limit
            label_ok = not step.label or step.label in room.labels
            label_ok = label_ok and ready.is_approved(room.vm_id)
            fits = cpu >= step.cpu_millis and memory >= step.memory_mb and accelerators >= step.accelerators
            if fits and spread_ok and label_ok:
                free[room.vm_id] = [
                    cpu - step.cpu_millis,
                    memory - step.memory_mb,
                    accelerators - step.accelerators,
                ]
                placed[room.vm_id] = placed.get(room.vm_id, 0) + 1
                chosen.append(room)
                break
        else:
            return None
    return chosen


def _gang_run(ready: ReadyStep) -> int:
    return max(ready.workflow.progress[ready.occurrence][ready.number].last_run) + 1


def _take(ready: ReadyStep, *, room: FreeCapacity, index: int, run: int | None = None) -> RunStart:
    room.take(ready.step)
    ready.placed[room.vm_id] = ready.placed.get(room.vm_id, 0) + 1
    progress = ready.workflow.progress[ready.occurrence][ready.number]
    task = TaskId(ready.workflow.workflow_id, ready.occurrence, ready.number, index)
    return RunStart(task=task.name, run=progress.last_run[index] + 1 if run is None else run, vm=room.vm_id)


def _choose(ready: ReadyStep, *, rooms: list[FreeCapacity]) -> FreeCapacity | None:
    step = ready.step
    best: FreeCapacity | None = None
    best_cost: tuple[float, ...] = ()
    for room in rooms:
        if not room.fits(step) or not ready.is_approved(room.vm_id):
            continue
        if step.spread_limit and ready.placed.get(room.vm_id, 0) >= step.spread_limit:
            continue
        cost = _cost(ready, step=step, room=room)
        if best is None or cost < best_cost:
            best, best_cost = room, cost
    return best


def _cost(ready: ReadyStep, *, step: Step, room: FreeCapacity) -> tuple[float, ...]:
    is_far = bool(step.data_rack) and step.data_rack not in room.labels
    if step.fills:
        return (room.suspicion, is_far, room.serving, room.filling, room.cpu_millis)
    is_disturbed = bool(step.target_ms) and room.filling > 0
    if step.long_running:
        # Long-running tasks share few VMs, so that the others can leave the pool, but no VM holds most of a step.
        is_most = ready.placed.get(room.vm_id, 0) >= -(-step.count // 2)
        return (room.suspicion, is_far, is_disturbed, room.is_due, is_most, room.cpu_millis)
    return (room.suspicion, is_far, is_disturbed, room.cpu_millis)


__all__ = ["place_steps"]
