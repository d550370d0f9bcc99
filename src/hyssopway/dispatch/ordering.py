"""Order in which waiting steps are served, and the estimates that it depends on.

The order is made for queues that request several times the capacity of their pool. Long-running tasks come first,
because each second without them is lost. Then come workflows that can still meet their latency objective, the
shortest remaining work first, so that started workflows are finished; then those that miss it; and last those that
are overdue.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.workflow import Queue, StepProgress, Workflow, WorkflowSpec

# A result later than this multiple of the objective is worth nothing to the submitter.
OVERDUE_FACTOR = 3.0

LONG_RUNNING_TIER = 0.0
IN_TIME_TIER = 1.0
LATE_TIER = 2.0
OVERDUE_TIER = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class StepSpan:
    """Estimated time span in which the open tasks of a step run if nothing delays them.

    Attributes:
        start_ms: Milliseconds from now until the start.
        end_ms: Milliseconds from now until the end.
        cpu_millis: CPU of these tasks together in millicores.
    """

    start_ms: float
    end_ms: float
    cpu_millis: int


def objective_ms(*, path_ms: float, queue: Queue | None) -> float:
    """Returns the latency objective of a workflow, from acceptance to end, in milliseconds; 0 without a queue.

    Args:
        path_ms: Length of the critical path of the whole workflow.
        queue: Queue of the workflow.
    """
    return queue.stretch * path_ms + queue.target_latency_ms if queue is not None else 0.0


def critical_path_ms(*, spec: WorkflowSpec, progress: list[StepProgress] | None) -> float:
    """Returns the length of the critical path in milliseconds: the longest chain of estimates of steps not yet done."""
    ends: list[float] = []
    for number, step in enumerate(spec.steps):
        start = 0.0
        for earlier in step.after:
            start = max(start, ends[earlier])
        is_done = progress is not None and progress[number].open_count == 0
        ends.append(start if is_done else start + step.estimate_ms)
    return max(ends, default=0.0)


def remaining_steps(
    *, spec: WorkflowSpec, progress: list[StepProgress] | None, scale: float
) -> list[StepSpan]:
    """Returns the estimated time spans of the remaining steps, without long-running and best-effort steps.

    A step with running tasks counts as half done.

    Args:
        spec: Specification of the workflow.
        progress: Progress by step; None for a workflow that has not started.
        scale: Factor from declared to actual durations.
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
    """Returns the estimated remaining work in core-seconds."""
    return sum(
        state.open_count * step.cpu_millis * step.estimate_ms / 1e6
        for step, state in zip(spec.steps, progress, strict=True)
    )


def service_order_key(
    *, workflow: Workflow, occurrence: int, queue: Queue | None, now_ms: float
) -> tuple[float, ...]:
    """Returns the sort key of an occurrence of a workflow; the lowest is served first."""
    spec = workflow.spec
    progress = workflow.progress[occurrence]
    priority = float(queue.priority) if queue is not None else 0.0
    started_ms = spec.due_ms(occurrence) or workflow.accepted_ms
    if any(step.long_running for step in spec.steps):
        return (LONG_RUNNING_TIER, priority, started_ms)
    tier = _latency_tier(spec=spec, progress=progress, queue=queue, age_ms=now_ms - started_ms)
    return (tier, priority, remaining_core_s(spec=spec, progress=progress), started_ms)


def _latency_tier(
    *, spec: WorkflowSpec, progress: list[StepProgress], queue: Queue | None, age_ms: float
) -> float:
    path_ms = critical_path_ms(spec=spec, progress=None)
    objective = objective_ms(path_ms=path_ms, queue=queue)
    # The remaining path is at most the whole one; most waiting workflows are in time by that alone.
    if age_ms + path_ms <= objective:
        return IN_TIME_TIER
    expected_latency_ms = age_ms + critical_path_ms(spec=spec, progress=progress)
    if expected_latency_ms > OVERDUE_FACTOR * objective:
        return OVERDUE_TIER
    return LATE_TIER if expected_latency_ms > objective else IN_TIME_TIER


__all__ = [
    "StepSpan",
    "critical_path_ms",
    "objective_ms",
    "remaining_core_s",
    "remaining_steps",
    "service_order_key",
]
