"""Limits how tasks under which VMs have ended share VMs, so that the one that crashes its VMs is found.

Addresses a task that crashes each VM that starts it: all runs of the VM are lost, wait together, and would be placed on
one VM together again, so that sound tasks are lost with the deadly one each time. After one VM the tasks are spread.
After two VMs a task gets a VM to which no other suspect is added, with the fewest other tasks, so that the third crash
shows which task causes them. A task waits while it is not known whether it has crashed three VMs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from hyssopway.workflow import CONCLUSIVE_CRASHES, PROBATION_MS, SUSPICIOUS_CRASHES, TaskId

from .copies import StepKey

if TYPE_CHECKING:
    from hyssopway.workflow import CrashSuspects, Tables


class SuspectLoad(NamedTuple):
    """Runs on a VM whose tasks may crash it.

    Attributes:
        spread: Number of such runs.
        is_isolated: Whether one of them is isolated.
    """

    spread: int = 0
    is_isolated: bool = False

    def plus(self, level: int) -> SuspectLoad:
        """Returns the load with one more run of a task under which `level` VMs have ended."""
        return SuspectLoad(self.spread + 1, self.is_isolated or needs_isolation(level))


NO_SUSPECTS = SuspectLoad()


def needs_isolation(level: int) -> bool:
    """Returns whether a task is isolated under which `level` VMs have ended, or may have."""
    return level >= SUSPICIOUS_CRASHES


def list_levels(suspects: CrashSuspects) -> dict[StepKey, dict[int, int]]:
    """Returns for each step the numbers of its suspect tasks, with the number of VMs that ended under each."""
    levels: dict[StepKey, dict[int, int]] = {}
    for name in suspects.list_tasks():
        task = TaskId.parse(name)
        key = StepKey(task.workflow, task.occurrence, task.step)
        levels.setdefault(key, {})[task.number] = suspects.level(name)
    return levels


def find_waiting(suspects: CrashSuspects) -> set[str]:
    """Returns the tasks that must wait until it is known whether VMs that are out of contact crashed under them."""
    return {task for task in suspects.lapsed if suspects.level(task) >= CONCLUSIVE_CRASHES}


def measure_suspect_load(*, tables: Tables, suspects: CrashSuspects, now_ms: int) -> dict[str, SuspectLoad]:
    """Returns the suspect runs on each VM that has any; a run that has lasted its probation is not suspect.

    Args:
        tables: Replicated data.
        suspects: Tasks that may crash their VMs.
        now_ms: Wall-clock time in milliseconds.
    """
    load: dict[str, SuspectLoad] = {}
    for name in suspects.list_tasks():
        for run in tables.runs.get(name, ()):
            if now_ms - run.started_ms <= PROBATION_MS:
                load[run.vm] = load.get(run.vm, NO_SUSPECTS).plus(suspects.level(name))
    return load


__all__ = [
    "NO_SUSPECTS",
    "SuspectLoad",
    "find_waiting",
    "list_levels",
    "measure_suspect_load",
    "needs_isolation",
]
