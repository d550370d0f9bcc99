"""Open work and expected capacity of each pool, as admission needs them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hyssopway.scheduling.admission import CapacityStep, OpenWork
from hyssopway.scheduling.pool_shares import ResourceAmounts
from hyssopway.workflow import QueueId

from .ordering import OVERDUE_FACTOR, critical_path_ms, objective_ms

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from hyssopway.workflow import Queue, StepProgress, Workflow, WorkflowSpec, WorkflowState

# Expected part of the duration that remains of a running task whose progress is unknown.
REMAINING_FRACTION = 0.5
# Declared durations of single jobs are off by up to 0.9; the mean of this many is much closer.
MIN_TYPICAL_COUNT = 5


@dataclass(slots=True, kw_only=True)
class PoolBacklog:
    """Open work and capacity of one pool.

    Attributes:
        open_work: Work of accepted workflows by workflow ID, without long-running, best-effort and overdue work.
        long_running: Amounts that running long-running tasks hold.
        capacity: Amounts of all VMs of the pool that are not draining.
        path_sums: Sum of the declared critical paths in milliseconds, and their number, of open workflows by queue.
        arriving: Further capacity by the wall-clock time in milliseconds at which it may be there, in this order.
    """

    open_work: dict[str, OpenWork] = field(default_factory=dict)
    long_running: ResourceAmounts = field(default_factory=ResourceAmounts)
    capacity: ResourceAmounts = field(default_factory=ResourceAmounts)
    path_sums: dict[QueueId, tuple[float, int]] = field(default_factory=dict)
    arriving: list[tuple[float, ResourceAmounts]] = field(default_factory=list)

    def capacity_steps(self, *, now_ms: float) -> Sequence[CapacityStep]:
        """Returns the capacity for work that is not long-running, over time."""
        total = ResourceAmounts()
        total.increase(self.capacity)
        total.increase(self.long_running, factor=-1.0)
        steps = [CapacityStep(at_ms=now_ms, capacity=total)]
        for at_ms, amounts in self.arriving:
            steps.append(CapacityStep(at_ms=max(now_ms, at_ms), capacity=steps[-1].capacity.plus(amounts)))
        return steps

    def typical_path_ms(self, queue: QueueId) -> float:
        """Returns the mean declared critical path of a queue's open workflows; 0 while there are few."""
        total, count = self.path_sums.get(queue, (0.0, 0))
        return total / count if count >= MIN_TYPICAL_COUNT else 0.0


def has_deadline(spec: WorkflowSpec, *, queue: Queue) -> bool:
    """Returns whether a workflow is subject to admission: it runs once, to its end, in a queue with an objective."""
    is_endless = any(step.long_running for step in spec.steps) or all(step.fills for step in spec.steps)
    return queue.stretch > 0 and queue.target_latency_ms > 0 and not is_endless and not spec.repeat_count


def longest_latency_ms(*, path_ms: float, queue: Queue, scale: float) -> float:
    """Returns the time after acceptance at which a result loses its value, in milliseconds.

    Where runs last longer than declared, the actual durations count, so that the time is not underestimated.

    Args:
        path_ms: Declared critical path.
        queue: Queue of the workflow.
        scale: Factor from declared to actual durations.
    """
    return OVERDUE_FACTOR * objective_ms(path_ms=path_ms * max(1.0, scale), queue=queue)


def describe_work(
    *,
    spec: WorkflowSpec,
    progress: list[StepProgress] | None,
    queue_id: QueueId,
    priority: int,
    team: str,
    deadline_ms: float,
    scale: float,
) -> OpenWork:
    """Returns the remaining work of a workflow or of one of its occurrences."""
    work = ResourceAmounts()
    core_ms = 0.0
    for number, step in enumerate(spec.steps):
        if step.long_running or step.fills:
            continue
        open_count, pending = step.count, step.count
        if progress is not None:
            open_count, pending = progress[number].open_count, len(progress[number].pending)
        if open_count:
            count = pending + REMAINING_FRACTION * (open_count - pending)
            work.add(step, count=count * step.estimate_ms * scale)
            core_ms += open_count * step.cpu_millis * step.estimate_ms / 1000
    return OpenWork(
        team=team,
        queue=queue_id,
        priority=priority,
        deadline_ms=deadline_ms,
        remaining_core_s=core_ms / 1000,
        work=work,
    )


def collect_backlogs(
    *, state: WorkflowState, scale: Callable[[QueueId], float], now_ms: float
) -> dict[str, PoolBacklog]:
    """Returns the backlog of each pool, without arriving machines.

    Args:
        state: Replicated state.
        scale: Returns the factor from declared to actual durations of a queue.
        now_ms: Wall-clock time in milliseconds.
    """
    tables = state.tables
    backlogs: dict[str, PoolBacklog] = {}
    for vm in tables.vms.values():
        backlog = backlogs.setdefault(vm.pool, PoolBacklog())
        if tables.accepts_starts(vm):
            backlog.capacity.increase(ResourceAmounts.of(vm.capacity))
    for workflow_id in state.indexes.open_workflows:
        workflow = tables.workflows[workflow_id]
        queue = state.indexes.queue_of(workflow)
        if queue is not None:
            backlog = backlogs.setdefault(queue.pool, PoolBacklog())
            _add_workflow(backlog, workflow=workflow, queue=queue, scale=scale(workflow.queue), now_ms=now_ms)
    return backlogs


def _add_workflow(
    backlog: PoolBacklog, *, workflow: Workflow, queue: Queue, scale: float, now_ms: float
) -> None:
    spec = workflow.spec
    path_ms = critical_path_ms(spec=spec, progress=None)
    total, count = backlog.path_sums.get(workflow.queue, (0.0, 0))
    backlog.path_sums[workflow.queue] = (total + path_ms, count + 1)
    latency_ms = longest_latency_ms(path_ms=path_ms, queue=queue, scale=scale)
    for occurrence, progress in workflow.progress.items():
        for number, step in enumerate(spec.steps):
            if step.long_running:
                running = progress[number].open_count - len(progress[number].pending)
                backlog.long_running.add(step, count=running)
        item = describe_work(
            spec=spec,
            progress=progress,
            queue_id=workflow.queue,
            priority=queue.priority,
            team=workflow.team,
            deadline_ms=(spec.due_ms(occurrence) or workflow.accepted_ms) + latency_ms,
            scale=scale,
        )
        left_ms = item.deadline_ms - now_ms
        # Work that cannot end in time any more is served last.
        if left_ms >= path_ms or left_ms >= critical_path_ms(spec=spec, progress=progress):
            backlog.open_work[f"{workflow.workflow_id}.{occurrence}"] = item


__all__ = [
    "PoolBacklog",
    "collect_backlogs",
    "describe_work",
    "has_deadline",
    "longest_latency_ms",
]
