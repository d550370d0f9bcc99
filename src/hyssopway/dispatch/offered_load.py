"""Measures how much work arrives.

Answers the load pattern of a queue whose turn begins: the processor in use grows only as jobs start step by step,
while the work that arrives each second shows at once how much will be needed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.workflow import Indexes, Tables, WorkflowSpec

WINDOW_S = 1.5


def measure_offered(
    *, tables: Tables, indexes: Indexes, scale: Callable[[str], float], now_ms: float
) -> dict[str, float]:
    """Returns the processor that recent arrivals need by pool, in thousandths of a core."""
    offered: dict[str, float] = {}
    since_ms = now_ms - WINDOW_S * 1000
    for workflow_id in reversed(indexes.open_workflows):
        workflow = tables.workflows[workflow_id]
        if workflow.accepted_ms < since_ms:
            break
        pool = tables.queue_pools.get(workflow.queue, "")
        work = declared_work(workflow.spec) * scale(workflow.queue)
        offered[pool] = offered.get(pool, 0.0) + work / (WINDOW_S * 1000)
    return offered


def declared_work(spec: WorkflowSpec) -> float:
    """Returns the declared work of a workflow in thousandths of a core times milliseconds."""
    return sum(
        float(step.count * step.cpu_millis * step.estimate_ms)
        for step in spec.steps
        if not step.long_running and not step.fills
    )


__all__ = ["declared_work", "measure_offered"]
