"""VMs on which a task that failed before is not placed."""

from __future__ import annotations

import pytest

from hyssopway.scheduling.retries import can_run, excluded_vms
from hyssopway.workflow import Capacity, Step, VmRecord


@pytest.mark.parametrize(
    ("able", "with_room", "unreliable", "expected"),
    [
        pytest.param(("failed", "bad", "good"), ("good",), (), {"failed"}, id="retry"),
        pytest.param(("failed", "bad", "good"), ("good",), ("bad",), {"failed", "bad"}, id="last attempt"),
        pytest.param(("failed", "bad", "good"), ("bad",), ("bad",), {"failed"}, id="no room on good VMs"),
        pytest.param(("failed", "bad"), ("bad",), ("bad",), {"failed"}, id="no good VM"),
        pytest.param(("failed",), ("failed",), (), set(), id="no other VM"),
    ],
)
def test_retry_goes_to_another_vm(able, with_room, unreliable, expected):
    """Guards against a workflow that fails with its second run on the same bad VM, and against one that never runs."""
    found = excluded_vms(
        failed_on=frozenset({"failed"}),
        unreliable=frozenset(unreliable),
        able=frozenset(able),
        with_room=with_room,
    )
    assert found == expected


@pytest.mark.parametrize(
    ("step", "expected"),
    [
        (Step(count=1, cpu_millis=8000, label="r1"), True),
        (Step(count=1, cpu_millis=9000), False),
        (Step(count=1, cpu_millis=9000, fills=True), True),
        (Step(count=1, memory_mb=900), False),
        (Step(count=1, accelerators=1), False),
        (Step(count=1, label="b"), False),
    ],
)
def test_vm_that_cannot_run_the_task_is_no_alternative(step, expected):
    """Guards against a task that waits for ever for VMs that are too small or of another kind."""
    vm = VmRecord(
        vm_id="vm",
        boot=1,
        address="",
        pool="vans",
        zone="nashua",
        labels=("a", "r1"),
        capacity=Capacity(cpu_millis=8000, memory_mb=800),
    )
    assert can_run(step, vm=vm) is expected
