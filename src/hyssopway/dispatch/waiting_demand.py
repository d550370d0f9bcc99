"""CPU demand of the tasks that a round leaves waiting."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from hyssopway.workflow import TaskId

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.workflow import RunStart, Workflow

    from .ready_step import ReadyStep


def measure_waiting_millis(
    ready: list[ReadyStep], *, starts: list[RunStart], pool_of: Callable[[Workflow], str]
) -> dict[str, int]:
    """Returns the CPU demand of waiting tasks in millicores by pool, without pools that have none.

    Args:
        ready: Steps with the tasks that waited before the round.
        starts: Starts of the round.
        pool_of: Returns the pool of a workflow.
    """
    started = Counter(start.task.rpartition(".")[0] for start in starts)
    waiting_millis: dict[str, int] = {}
    for ready_step in ready:
        workflow = ready_step.workflow
        pool = pool_of(workflow)
        step_name = TaskId(workflow.workflow_id, ready_step.occurrence, ready_step.number, 0).step_name
        waiting = len(ready_step.indexes) - started[step_name]
        total = waiting_millis.get(pool, 0) + waiting * ready_step.step.cpu_millis
        if total:
            waiting_millis[pool] = total
    return waiting_millis


__all__ = ["measure_waiting_millis"]
