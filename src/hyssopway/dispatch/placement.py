"""Placement of waiting tasks on VMs.

Placement is best fit: steps are served in a given order, and a task goes to the VM with the least free CPU that still
fits it. Queues request several times the capacity of their pool in bursts; whole VMs stay free for large tasks, or can
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

NO_VMS: frozenset[str] = frozenset()


def place_steps(
    *,
    steps: Iterable[ReadyStep],
    free_by_pool: dict[str, list[FreeCapacity]],
    pool_of: Callable[[ReadyStep], str],
    reserve_for_team: Callable[[ReadyStep, int], bool],
    max_starts: int,
) -> list[RunStart]:
    """Places waiting tasks.

    Args:
        steps: Steps in the order of service.
        free_by_pool: Free capacity of VMs by pool; reduced by each placement.
        pool_of: Returns the pool of a step.
        reserve_for_team: Counts a number of tasks of a step against the upper limit of its team; counts none and
            returns False when the limit does not allow them all.
        max_starts: Number of starts after which no further step is placed; a gang may exceed it.

    Returns:
        Starts with the next run number of each task.
    """
    starts: list[RunStart] = []
    # Requirements that no VM of a pool meets. Free capacity only shrinks during a round, and in a full pool most
    # waiting steps have the same requirements.
    unmet: set[tuple[object, ...]] = set()
    for ready in steps:
        pool, step = pool_of(ready), ready.step
        vms = free_by_pool.get(pool)
        needs = (pool, step.cpu_millis, step.memory_mb, step.accelerators, step.label, step.fills)
        if not vms or needs in unmet:
            continue
        if not any(vm.fits(step) for vm in vms):
            unmet.add(needs)
            continue
        if ready.step.gang:
            starts += _place_gang(ready, vms=vms, reserve_for_team=reserve_for_team)
        else:
            starts += _place_tasks(
                ready, vms=vms, reserve_for_team=reserve_for_team, max_starts=max_starts - len(starts)
            )
        if len(starts) >= max_starts:
            break
    return starts


def _place_tasks(
    ready: ReadyStep,
    *,
    vms: list[FreeCapacity],
    reserve_for_team: Callable[[ReadyStep, int], bool],
    max_starts: int,
) -> list[RunStart]:
    starts: list[RunStart] = []
    unplaceable: set[frozenset[str]] = set()
    for index in ready.indexes[: max(0, max_starts)]:
        excluded = ready.excluded_vms.get(index, NO_VMS)
        if excluded in unplaceable:
            continue
        is_suspect = index in ready.suspects
        vm = _choose_vm(ready, vms=vms, excluded=excluded, index=index)
        if vm is None and is_suspect:
            continue  # it waits for a VM that it may share
        if vm is None and excluded:
            # The other tasks of the step may fit on VMs that are excluded for this one.
            unplaceable.add(excluded)
            continue
        if vm is None or not reserve_for_team(ready, 1):
            break
        starts.append(_assign(ready, vm=vm, index=index))
        if vm.is_probed:
            vms.remove(vm)
    return starts


def _place_gang(
    ready: ReadyStep, *, vms: list[FreeCapacity], reserve_for_team: Callable[[ReadyStep, int], bool]
) -> list[RunStart]:
    if len(ready.indexes) < ready.step.count:
        return []  # some members of the previous run have not ended
    # VMs have labels for their kind and for their rack, so there is a group for each kind, too.
    racks = sorted({label for vm in vms for label in vm.labels})
    groups = [[vm for vm in vms if rack in vm.labels] for rack in racks]
    for group in (*groups, vms) if ready.step.tightly_coupled else (vms,):
        chosen = _find_gang_vms(ready, vms=group)
        if chosen is not None and reserve_for_team(ready, len(chosen)):
            return [
                _assign(ready, vm=vm, index=index, run=_next_gang_run(ready))
                for index, vm in zip(ready.indexes, chosen, strict=True)
            ]
    return []


def _find_gang_vms(ready: ReadyStep, *, vms: list[FreeCapacity]) -> list[FreeCapacity] | None:
    """Returns a VM for each member of a gang, or None when the VMs do not fit all of them."""
    vms = [vm for vm in vms if not vm.is_probed]
    is_suspect = bool(ready.suspects)
    free = {vm.vm_id: [vm.cpu_millis, vm.memory_mb, vm.accelerators] for vm in vms}
    placed = dict(ready.placed)
    step = ready.step
    chosen: list[FreeCapacity] = []
    for _ in ready.indexes:
        for vm in sorted(vms, key=lambda vm: _gang_cost(vm, free=free[vm.vm_id], is_suspect=is_suspect)):
            cpu, memory, accelerators = free[vm.vm_id]
            spread_ok = not step.spread_limit or placed.get(vm.vm_id, 0) < step.spread_limit
            is_allowed = not step.label or step.label in vm.labels
            is_allowed = is_allowed and ready.is_approved(vm.vm_id)
            fits = cpu >= step.cpu_millis and memory >= step.memory_mb and accelerators >= step.accelerators
            if fits and spread_ok and is_allowed:
                free[vm.vm_id] = [
                    cpu - step.cpu_millis,
                    memory - step.memory_mb,
                    accelerators - step.accelerators,
                ]
                placed[vm.vm_id] = placed.get(vm.vm_id, 0) + 1
                chosen.append(vm)
                break
        else:
            return None
    return chosen


def _gang_cost(vm: FreeCapacity, *, free: list[int], is_suspect: bool) -> tuple[int, ...]:
    """Returns the sort key of a VM for one member of a gang; the lowest is preferred."""
    shared_runs = vm.runs if is_suspect else 0
    return (int(vm.suspect_load.is_isolated), shared_runs, -free[0])


def _next_gang_run(ready: ReadyStep) -> int:
    """Returns the run number that all members of a gang share."""
    return max(ready.workflow.progress[ready.occurrence][ready.number].last_run) + 1


def _assign(ready: ReadyStep, *, vm: FreeCapacity, index: int, run: int | None = None) -> RunStart:
    vm.reserve(ready.step)
    if index in ready.suspects:
        vm.suspect_load = vm.suspect_load.plus(ready.suspects[index])
    ready.placed[vm.vm_id] = ready.placed.get(vm.vm_id, 0) + 1
    progress = ready.workflow.progress[ready.occurrence][ready.number]
    task = TaskId(ready.workflow.workflow_id, ready.occurrence, ready.number, index)
    return RunStart(task=task.name, run=progress.last_run[index] + 1 if run is None else run, vm=vm.vm_id)


def _choose_vm(
    ready: ReadyStep, *, vms: list[FreeCapacity], excluded: frozenset[str], index: int
) -> FreeCapacity | None:
    step, may_probe = ready.step, index in ready.probe_indexes
    suspicion = ready.suspects.get(index)
    best: FreeCapacity | None = None
    best_cost: tuple[float, ...] = ()
    for vm in vms:
        if not vm.fits(step) or not ready.is_approved(vm.vm_id) or vm.vm_id in excluded:
            continue
        if step.spread_limit and ready.placed.get(vm.vm_id, 0) >= step.spread_limit:
            continue
        if suspicion is not None and vm.suspect_load.is_exclusive and not suspicion.may_share:
            continue  # a crash would not show which of the suspects caused it
        if vm.is_probed:
            if may_probe:
                return vm  # a VM that waits for its probe leaves its capacity unused
            continue
        cost = _placement_cost(ready, step=step, vm=vm)
        if suspicion is not None:
            # Suspects are spread, and isolated ones are kept away from other tasks.
            load = vm.suspect_load
            other_runs = vm.runs if suspicion.is_isolated else 0
            cost = (load.is_exclusive, load.is_isolated, load.spread, other_runs, *cost)
        if best is None or cost < best_cost:
            best, best_cost = vm, cost
    return best


def _placement_cost(ready: ReadyStep, *, step: Step, vm: FreeCapacity) -> tuple[float, ...]:
    """Returns the sort key of a VM for one task of a step; the lowest is preferred."""
    is_remote = bool(step.data_rack) and step.data_rack not in vm.labels
    is_risky = vm.suspect_load.is_isolated
    if step.fills:
        disturbed, unknown = vm.rank_for_best_effort(step) if vm.known_pairs else (0, vm.serving)
        return (
            is_risky,
            vm.recent_failures,
            is_remote,
            disturbed,
            unknown,
            vm.best_effort,
            vm.cpu_millis,
        )
    interference = 0
    if step.target_ms:
        interference = vm.rank_for_serving(step) if vm.known_pairs else int(vm.best_effort > 0)
    if step.long_running:
        # Long-running tasks share few VMs, so that the others can leave the pool, but no VM gets more than half of
        # the tasks of a step while another VM has room. In replays of bursts with long-running steps of 8 to 24 tasks,
        # VMs that have such tasks already save 0.4% to 3% of the VM time compared with the least free CPU alone.
        has_half = ready.placed.get(vm.vm_id, 0) >= -(-step.count // 2)
        return (
            is_risky,
            vm.recent_failures,
            is_remote,
            interference,
            vm.has_long_lease,
            vm.awaits_maintenance,
            has_half,
            not vm.has_long_running,
            vm.cpu_millis,
        )
    return (is_risky, vm.recent_failures, is_remote, interference, vm.cpu_millis)


__all__ = ["place_steps"]
