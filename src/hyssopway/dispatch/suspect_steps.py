"""Applies the suspicion against tasks under which VMs have ended to the waiting steps of a round."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.scheduling.copies import StepKey
from hyssopway.scheduling.crash_isolation import find_waiting, list_levels

if TYPE_CHECKING:
    from hyssopway.workflow import CrashSuspects

    from .ready_step import ReadyStep


def set_suspicion(ready: list[ReadyStep], *, suspects: CrashSuspects) -> None:
    """Sets `suspicion` of each step and removes the tasks that must wait.

    Args:
        ready: Ready steps with their waiting tasks.
        suspects: Tasks that may crash their VMs.
    """
    levels = list_levels(suspects)
    if not levels:
        return
    waiting = find_waiting(suspects)
    for step in ready:
        step.suspicion = levels.get(StepKey(step.workflow.workflow_id, step.occurrence, step.number), {})
        if waiting and step.suspicion:
            step.indexes = [index for index in step.indexes if step.task_name(index) not in waiting]


__all__ = ["set_suspicion"]
