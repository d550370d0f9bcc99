"""Applies the suspicion against tasks under which VMs have ended to the waiting steps of a round."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.scheduling.copies import StepKey
from hyssopway.scheduling.crash_isolation import find_held_back, find_waiting, list_suspects

if TYPE_CHECKING:
    from hyssopway.workflow import WorkflowState

    from .ready_step import ReadyStep


def set_suspects(ready: list[ReadyStep], *, state: WorkflowState, now_ms: int) -> None:
    """Sets `suspects` of each step and removes the tasks that must wait.

    Args:
        ready: Ready steps with their waiting tasks.
        state: Replicated state, which knows the tasks that may crash their VMs.
        now_ms: Wall-clock time in milliseconds.
    """
    suspects = state.indexes.suspects
    by_step = list_suspects(suspects, tables=state.tables)
    if not by_step:
        return
    waiting = find_waiting(suspects)
    held_back = find_held_back(suspects, now_ms=now_ms)
    for step in ready:
        step.suspects = by_step.get(StepKey(step.workflow.workflow_id, step.occurrence, step.number), {})
        is_long_running = step.workflow.spec.steps[step.number].long_running
        excluded = waiting | held_back if is_long_running else waiting
        if excluded and step.suspects:
            step.indexes = [index for index in step.indexes if step.task_name(index) not in excluded]


__all__ = ["set_suspects"]
