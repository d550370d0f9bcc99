"""Decides which tasks caused the end of their VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .task_id import TaskId

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from .crash_count import CrashCount

# Two VMs do not end right after they started one task by chance.
CONCLUSIVE_CRASHES_AT_START = 2
# Three VMs that ended under one task show that it caused the last, unless another suspect was lost with it.
CONCLUSIVE_CRASHES = 3
# A task under which this many VMs have ended is a suspect whenever another ends under it.
SUSPICIOUS_CRASHES = 2
# A task under which this many VMs have ended is not started again, whether the ends are confirmed or not.
MAX_CRASHES = 4
# Of three ends, this many must be confirmed, the last one among them.
MIN_CONFIRMED_CRASHES = 2

# A long-running task whose VMs have ended right after its start this often is held back.
HELD_BACK_CRASHES_AT_START = 3
# How long it is held back after the first such end; each further one doubles the time.
HOLD_BACK_MS = 30_000
MAX_HOLD_BACK_MS = 3_600_000


def must_hold_back(count: CrashCount) -> bool:
    """Returns whether a long-running task crashes its VMs, so that it is started again only after some time."""
    return count.at_start >= HELD_BACK_CRASHES_AT_START


def is_held_back(count: CrashCount, *, now_ms: int) -> bool:
    """Returns whether a long-running task is held back at a wall-clock time in milliseconds.

    The clock may have been set back since the last end, by more than the task may be held back.
    """
    if not must_hold_back(count):
        return False
    exponent = count.at_start - HELD_BACK_CRASHES_AT_START
    hold_ms = min(HOLD_BACK_MS << exponent, MAX_HOLD_BACK_MS)
    return abs(now_ms - count.last_ms) < hold_ms


def find_causes(
    counts: Mapping[str, CrashCount],
    *,
    just_started: Collection[str],
    unconfirmed: Collection[str] = (),
) -> list[str]:
    """Returns the tasks that caused the end of a VM; empty while it may have been one of several, or none.

    Sound tasks are lost beside a task that crashes its VMs, and would be blamed as well.

    Args:
        counts: Numbers of ends under each task that was lost with the VM, including this end.
        just_started: Tasks that the VM had just started.
        unconfirmed: Tasks of which it is not known whether their start had reached the VM.
    """
    at_start = {
        task
        for task in just_started
        if task in counts and counts[task].at_start >= CONCLUSIVE_CRASHES_AT_START
    }
    suspects = {
        task for task, count in counts.items() if count.total >= SUSPICIOUS_CRASHES or task in just_started
    }
    conclusive = {task for task, count in counts.items() if count.confirmed >= MIN_CONFIRMED_CRASHES}
    causes = {task for task in counts if counts[task].total >= MAX_CRASHES}
    if _are_of_one_workflow(at_start):
        causes |= at_start
    if _are_of_one_workflow(suspects):
        confirmed_now = (suspects & conclusive).difference(unconfirmed)
        causes |= {task for task in confirmed_now if counts[task].total >= CONCLUSIVE_CRASHES}
    return sorted(causes)


def _are_of_one_workflow(tasks: Collection[str]) -> bool:
    return len({TaskId.parse(task).workflow for task in tasks}) == 1


__all__ = [
    "CONCLUSIVE_CRASHES",
    "CONCLUSIVE_CRASHES_AT_START",
    "MAX_CRASHES",
    "MAX_HOLD_BACK_MS",
    "MIN_CONFIRMED_CRASHES",
    "SUSPICIOUS_CRASHES",
    "find_causes",
    "is_held_back",
    "must_hold_back",
]
