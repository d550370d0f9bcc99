"""Applies the ratings of VMs to the waiting steps of a round."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.scheduling.retries import can_run, excluded_vms
from hyssopway.workflow import TaskId

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hyssopway.scheduling.vm_rating import VmRatings
    from hyssopway.workflow import WorkflowState

    from .free_capacity import FreeCapacity
    from .ready_step import ReadyStep


class RatedSteps:
    """Excludes VMs for tasks that failed before, and names the tasks that may run on a VM that is probed.

    Attributes:
        state: Replicated state.
        ratings: Ratings of VMs.
        free_by_pool: Free capacity of VMs by pool.
        probed_pools: Pools in which a VM waits for its probe.
        unreliable: IDs of the VMs whose failures count against them; None until a task that failed needs them.
    """

    __slots__ = ("free_by_pool", "probed_pools", "ratings", "state", "unreliable")

    def __init__(
        self, *, state: WorkflowState, ratings: VmRatings, free_by_pool: dict[str, list[FreeCapacity]]
    ) -> None:
        self.state = state
        self.ratings = ratings
        self.free_by_pool = free_by_pool
        self.probed_pools = {pool for pool, vms in free_by_pool.items() if any(vm.is_probed for vm in vms)}
        self.unreliable: frozenset[str] | None = None

    def apply(self, ready: list[ReadyStep]) -> None:
        """Sets `probe_indexes` and extends `excluded_vms` of each step."""
        for ready_step in ready:
            workflow = ready_step.workflow
            pool = self.state.indexes.pool_of(workflow)
            failures = workflow.progress[ready_step.occurrence][ready_step.number].failures
            max_attempts = self.state.indexes.max_attempts(workflow)
            if pool in self.probed_pools:
                _set_probe_indexes(ready_step, failures=failures, max_attempts=max_attempts)
            if any(failures[index] for index in ready_step.indexes) and not ready_step.step.gang:
                self._exclude_vms(ready_step, pool=pool, failures=failures, max_attempts=max_attempts)

    def _exclude_vms(
        self, ready_step: ReadyStep, *, pool: str, failures: Sequence[int], max_attempts: int
    ) -> None:
        if self.unreliable is None:
            self.unreliable = self.ratings.unreliable_vms()
        with_room, able = self._find_vms(ready_step, pool=pool)
        if not with_room:
            return
        for index in ready_step.indexes:
            if not failures[index]:
                continue
            task = TaskId(ready_step.workflow.workflow_id, ready_step.occurrence, ready_step.number, index)
            excluded = excluded_vms(
                failed_on=self.ratings.failed_on(task),
                unreliable=self.unreliable if failures[index] + 1 >= max_attempts else frozenset(),
                able=able,
                with_room=with_room,
            )
            if excluded:
                known = ready_step.excluded_vms.get(index, frozenset())
                ready_step.excluded_vms[index] = known | excluded

    def _find_vms(self, ready_step: ReadyStep, *, pool: str) -> tuple[set[str], frozenset[str]]:
        """Returns the IDs of the VMs with room for a task of a step, and of those that can run it when empty."""
        step, vms = ready_step.step, self.state.tables.vms
        free = [vm for vm in self.free_by_pool.get(pool, ()) if not vm.is_probed]
        with_room = {vm.vm_id for vm in free if vm.fits(step)}
        if not with_room:
            return with_room, frozenset()
        able = frozenset(vm.vm_id for vm in free if vm.vm_id in with_room or can_run(step, vm=vms[vm.vm_id]))
        return with_room, able


def _set_probe_indexes(ready_step: ReadyStep, *, failures: Sequence[int], max_attempts: int) -> None:
    step = ready_step.step
    if step.long_running or step.fills or step.gang:
        return
    ready_step.probe_indexes = frozenset(
        index
        for index in ready_step.indexes
        if index not in ready_step.excluded_vms and failures[index] + 1 < max_attempts
    )


__all__ = ["RatedSteps"]
