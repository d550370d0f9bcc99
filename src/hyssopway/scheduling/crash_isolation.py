"""Limits how tasks under which VMs have ended share VMs, so that the one that crashes its VMs is found.

Addresses a task that crashes each VM that starts it: all runs of the VM are lost, wait together, and would be placed on
one VM together again, so that sound tasks are lost with the deadly one each time. Suspects are spread over the VMs. One
whose VM ended right after its start, or under which two VMs have ended, is isolated: its VM has the fewest other tasks,
and no other suspect joins it, so that the next end of a VM shows which task caused it. A task waits while it is not
known whether it has crashed three VMs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from hyssopway.workflow import (
    CONCLUSIVE_CRASHES,
    NO_CRASHES,
    PROBATION_MS,
    SUSPICIOUS_CRASHES,
    TaskId,
    is_held_back,
)

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

    def plus(self, *, is_isolated: bool) -> SuspectLoad:
        """Returns the load with one more such run."""
        return SuspectLoad(self.spread + 1, self.is_isolated or is_isolated)


NO_SUSPECTS = SuspectLoad()


def needs_isolation(suspects: CrashSuspects, *, task: str) -> bool:
    """Returns whether a suspect is isolated."""
    at_start = suspects.crashes.get(task, NO_CRASHES).at_start
    return at_start > 0 or suspects.level(task) >= SUSPICIOUS_CRASHES


def list_suspects(suspects: CrashSuspects) -> dict[StepKey, dict[int, bool]]:
    """Returns for each step the numbers of its suspect tasks, and whether each is isolated."""
    found: dict[StepKey, dict[int, bool]] = {}
    for name in suspects.list_tasks():
        task = TaskId.parse(name)
        key = StepKey(task.workflow, task.occurrence, task.step)
        found.setdefault(key, {})[task.number] = needs_isolation(suspects, task=name)
    return found


def find_waiting(suspects: CrashSuspects) -> set[str]:
    """Returns the tasks that must wait until it is known whether VMs that are out of contact crashed under them."""
    return {task for task in suspects.lapsed if suspects.level(task) >= CONCLUSIVE_CRASHES}


def find_held_back(suspects: CrashSuspects, *, now_ms: int) -> set[str]:
    """Returns the tasks that are held back if they are long-running, since their VMs ended right after their starts."""
    return {task for task, count in suspects.crashes.items() if is_held_back(count, now_ms=now_ms)}


def measure_suspect_load(*, tables: Tables, suspects: CrashSuspects, now_ms: int) -> dict[str, SuspectLoad]:
    """Returns the suspect runs on each VM that has any; a run that has lasted its probation is not suspect.

    Args:
        tables: Replicated data.
        suspects: Tasks that may crash their VMs.
        now_ms: Wall-clock time in milliseconds.
    """
    load: dict[str, SuspectLoad] = {}
    for name in suspects.list_tasks():
        is_isolated = needs_isolation(suspects, task=name)
        for run in tables.runs.get(name, ()):
            if now_ms - run.started_ms <= PROBATION_MS:
                load[run.vm] = load.get(run.vm, NO_SUSPECTS).plus(is_isolated=is_isolated)
    return load


__all__ = [
    "NO_SUSPECTS",
    "SuspectLoad",
    "find_held_back",
    "find_waiting",
    "list_suspects",
    "measure_suspect_load",
    "needs_isolation",
]
