"""Long-running tasks that are held back because their VMs ended right after their starts."""

from __future__ import annotations

import pytest

from hyssopway.scheduling.crash_isolation import find_held_back
from hyssopway.workflow import CrashCount, CrashSuspects, Tables

TASK = "w.0.0.0"


@pytest.mark.parametrize(
    ("at_start", "held_s"), [(2, 0), (3, 30), (4, 60), (5, 120), (100, 3600)], ids="{}".format
)
def test_task_that_crashes_its_vms_is_started_less_and_less_often(at_start, held_s):
    """Guards against a long-running task that crashes VM after VM, as it is never given up."""
    suspects = CrashSuspects(Tables())
    suspects.crashes[TASK] = CrashCount(total=at_start, at_start=at_start, last_ms=1_000)
    held = [
        bool(find_held_back(suspects, now_ms=1_000 + 1_000 * seconds)) for seconds in (0, held_s - 1, held_s)
    ]
    assert held == [held_s > 0, held_s > 0, False]


def test_task_that_lost_many_vms_at_work_is_not_held_back():
    """Guards against a long-running task that has no run because VMs crashed which it did not crash (LOST)."""
    suspects = CrashSuspects(Tables())
    suspects.crashes[TASK] = CrashCount(total=9, at_start=2, last_ms=1_000)
    assert find_held_back(suspects, now_ms=1_000) == set()


def test_task_is_not_held_back_for_as_long_as_a_clock_was_set_back():
    """Guards against a task without a run after the leader's clock was set back, or was ahead of the next leader's (LOST)."""
    suspects = CrashSuspects(Tables())
    ahead_ms = 3_600_000
    count = CrashCount(total=3, at_start=3, last_ms=ahead_ms)
    suspects.crashes[TASK] = count
    assert find_held_back(suspects, now_ms=ahead_ms - 1_000) == {TASK}, "clocks differ a little"
    assert find_held_back(suspects, now_ms=1_000) == set()
    suspects.crashes[TASK] = count.plus(is_at_start=True, at_ms=1_000)
    assert find_held_back(suspects, now_ms=1_000 + 59_000) == {TASK}, (
        "the next end counts by the clock as it is"
    )
