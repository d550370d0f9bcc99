"""Decides in which order waiting steps are served.

Answers the load pattern of a queue that asks for several times what its pool holds: long-running tasks come first,
since each second without them is lost; then workflows that can still end within their objective, the least
remaining work first, so that what was begun is finished; then those that end late; then those whose time is over.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.workflow import Queue, StepProgress, Workflow, WorkflowSpec

# An end later than this many objectives is worth nothing to the submitter.
LATE_FACTOR = 3.0

LONG_RUNNING_TIER = 0.0
IN_TIME_TIER = 1.0
LATE_TIER = 2.0
OVERDUE_TIER = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class StepSpan:
    """When the open tasks of a step run if nothing holds them up.

    Attributes:
        start_ms: Begin, from now on.
        end_ms: End, from now on.
        cpu_millis: Processor of these tasks together.
    """

    start_ms: float
    end_ms: float
    cpu_millis: int


def objective_ms(*, spec: WorkflowSpec, queue: Queue | None) -> float:
    """Returns the time from hand-in to end within which a workflow should end."""
    if queue is None:
        return 0.0
    return queue.stretch * chain_ms(spec=spec, progress=None) + queue.target_latency_ms


def chain_ms(*, spec: WorkflowSpec, progress: list[StepProgress] | None) -> float:
    """Returns the longest chain of estimated work, without steps that are done."""
    ends: list[float] = []
    for number, step in enumerate(spec.steps):
        start = max((ends[earlier] for earlier in step.after), default=0.0)
        is_done = progress is not None and progress[number].open_count == 0
        ends.append(start if is_done else start + step.estimate_ms)
    return max(ends, default=0.0)


def remaining_steps(
    *, spec: WorkflowSpec, progress: list[StepProgress] | None, scale: float
) -> list[StepSpan]:
    """Returns when the short steps that are left run; without `progress`, those of a fresh workflow.

    A step of which tasks run is taken to be half done.
    """
    ends: list[float] = []
    spans: list[StepSpan] = []
    for number, step in enumerate(spec.steps):
        start_ms = max((ends[earlier] for earlier in step.after), default=0.0)
        state = progress[number] if progress is not None else None
        open_count = step.count if state is None else state.open_count
        is_running = state is not None and len(state.pending) < open_count
        duration_ms = step.estimate_ms * scale * (0.5 if is_running else 1.0)
        ends.append(start_ms + duration_ms if open_count else start_ms)
        if open_count and not step.long_running and not step.fills:
            cpu_millis = open_count * step.cpu_millis
            spans.append(StepSpan(start_ms=start_ms, end_ms=ends[number], cpu_millis=cpu_millis))
    return spans


def remaining_core_s(*, spec: WorkflowSpec, progress: list[StepProgress]) -> float:
    """Returns the estimated work that is left, in core-seconds."""
    return sum(
        state.open_count * step.cpu_millis * step.estimate_ms / 1e6
        for step, state in zip(spec.steps, progress, strict=True)
    )


def order_occurrence(
    *, workflow: Workflow, occurrence: int, queue: Queue | None, now_ms: float
) -> tuple[float, ...]:
    """Returns the sort key of an occurrence; the lowest is served first."""
    spec = workflow.spec
    progress = workflow.progress[occurrence]
    priority = float(queue.priority) if queue is not None else 0.0
    begun_ms = spec.due_ms(occurrence) or workflow.accepted_ms
    if any(step.long_running for step in spec.steps):
        return (LONG_RUNNING_TIER, priority, begun_ms)
    objective = objective_ms(spec=spec, queue=queue)
    expected_ms = now_ms - begun_ms + chain_ms(spec=spec, progress=progress)
    tier = IN_TIME_TIER
    if expected_ms > LATE_FACTOR * objective:
        tier = OVERDUE_TIER
    elif expected_ms > objective:
        tier = LATE_TIER
    return (tier, priority, remaining_core_s(spec=spec, progress=progress), begun_ms)


__all__ = [
    "StepSpan",
    "chain_ms",
    "objective_ms",
    "order_occurrence",
    "remaining_core_s",
    "remaining_steps",
]
