"""Limits how tasks under which VMs have ended share VMs, so that the one that crashes its VMs is found.

Addresses a task that crashes each VM that starts it: all runs of the VM are lost, wait together, and would be placed on
one VM together again, so that sound tasks are lost with the deadly one each time. Suspects are spread over the VMs. One
whose VM ended right after its start, or under which two VMs have ended, is isolated: its VM has the fewest other tasks,
and no other suspect joins it, so that the next end of a VM shows which task caused it. A task waits while it is not
known whether it has crashed three VMs.

Long-running tasks under which one VM has ended share VMs where there are fewer VMs than suspects, as evenly as they can:
they never end, and each would keep the others waiting for its probation. The next end of a VM leaves only those that
were on it, which then do not share.
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


class Suspicion(NamedTuple):
    """How a task that may crash its VM is placed.

    Attributes:
        is_isolated: Whether it gets a VM without other suspects, with the fewest other tasks.
        may_share: Whether it shares a VM with isolated tasks where there is no other.
    """

    is_isolated: bool
    may_share: bool = False

    @property
    def is_exclusive(self) -> bool:
        """Whether no other suspect joins the VM of the task that may not share one."""
        return self.is_isolated and not self.may_share


class SuspectLoad(NamedTuple):
    """Runs on a VM whose tasks may crash it.

    Attributes:
        spread: Number of such runs.
        is_isolated: Whether one of them is isolated.
        is_exclusive: Whether one of them is isolated and may not share the VM.
    """

    spread: int = 0
    is_isolated: bool = False
    is_exclusive: bool = False

    def plus(self, suspicion: Suspicion) -> SuspectLoad:
        """Returns the load with one more such run."""
        return SuspectLoad(
            self.spread + 1,
            self.is_isolated or suspicion.is_isolated,
            self.is_exclusive or suspicion.is_exclusive,
        )


NO_SUSPECTS = SuspectLoad()


def assess_suspect(suspects: CrashSuspects, *, task: TaskId, tables: Tables) -> Suspicion:
    """Returns how a suspect is placed."""
    has_ended_several = suspects.level(task.name) >= SUSPICIOUS_CRASHES
    at_start = suspects.crashes.get(task.name, NO_CRASHES).at_start
    workflow = tables.workflows.get(task.workflow)
    is_long_running = workflow is not None and workflow.spec.steps[task.step].long_running
    return Suspicion(
        is_isolated=at_start > 0 or has_ended_several, may_share=is_long_running and not has_ended_several
    )


def list_suspects(suspects: CrashSuspects, *, tables: Tables) -> dict[StepKey, dict[int, Suspicion]]:
    """Returns for each step the numbers of its suspect tasks, and how each is placed."""
    found: dict[StepKey, dict[int, Suspicion]] = {}
    for name in suspects.list_tasks():
        task = TaskId.parse(name)
        key = StepKey(task.workflow, task.occurrence, task.step)
        found.setdefault(key, {})[task.number] = assess_suspect(suspects, task=task, tables=tables)
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
        suspicion = assess_suspect(suspects, task=TaskId.parse(name), tables=tables)
        for run in tables.runs.get(name, ()):
            if now_ms - run.started_ms <= PROBATION_MS:
                load[run.vm] = load.get(run.vm, NO_SUSPECTS).plus(suspicion)
    return load


__all__ = [
    "NO_SUSPECTS",
    "SuspectLoad",
    "Suspicion",
    "assess_suspect",
    "find_held_back",
    "find_waiting",
    "list_suspects",
    "measure_suspect_load",
]
