"""Choice of the tasks on silent VMs that get a copy."""

from __future__ import annotations

import pytest

from hyssopway.scheduling.copies import (
    CopyBudget,
    RunPace,
    StepKey,
    find_copies_of_silent_runs,
    is_slow,
)
from hyssopway.scheduling.racks import RackMap
from hyssopway.workflow import (
    CancelWorkflow,
    EndRuns,
    PutDocument,
    RunEnd,
    RunOutcome,
    RunStart,
    StartRuns,
    Step,
    WorkflowState,
)
from workflow.conftest import Log, make_document, make_vm, make_workflow

TASK = "w.0.0.0"
STEP = StepKey("w", 0, 0)


def make_log(step, *, max_attempts=2):
    """Returns the log of a workflow with one step on three VMs, of which the first two are in one rack."""
    log = Log(WorkflowState())
    log.apply(PutDocument(document=make_document(max_attempts=max_attempts)))
    for name, rack in (("vm-1", "r1"), ("vm-2", "r1"), ("vm-3", "r2"), ("vm-4", "r3")):
        log.apply(make_vm(name, rack=rack))
    log.apply(make_workflow("w", steps=(step,)))
    return log


def start(log, vm, *, run=1):
    log.apply(StartRuns(fencing_token=1, starts=(RunStart(task=TASK, run=run, vm=vm),)))


def end(log, vm, outcome, *, run=1):
    log.apply(EndRuns(vm=vm, boot=1, ends=(RunEnd(task=TASK, run=run, outcome=outcome),), at_ms=1))


def find(log, *silent_vms):
    return find_copies_of_silent_runs(
        tables=log.state.tables, indexes=log.state.indexes, silent_vms=silent_vms
    )


def test_task_on_a_silent_vm_gets_a_copy_outside_its_rack():
    """Guards against a task that waits for the lease of its VM, and against a copy in the same dark rack."""
    log = make_log(Step(count=1, duplicates=True))
    start(log, "vm-1")
    assert find(log, "vm-1") == {STEP: {0: frozenset({"vm-1", "vm-2"})}}
    assert find(log, "vm-3") == {}


@pytest.mark.parametrize(
    "step",
    [
        Step(count=1),
        Step(count=1, duplicates=True, gang=True),
        Step(count=1, duplicates=True, long_running=True),
    ],
    ids=["no duplicates", "gang", "long-running"],
)
def test_step_that_allows_no_second_run_gets_no_copy(step):
    """Guards against two runs of a task whose step does not allow duplicates or has members that depend on it."""
    log = make_log(step)
    start(log, "vm-1")
    assert find(log, "vm-1") == {}


def test_copy_needs_an_attempt_for_each_run_that_may_have_failed():
    """Guards against a start after the attempts were used up by a failure that the silent VM has not reported."""
    log = make_log(Step(count=1, duplicates=True))
    start(log, "vm-3")
    end(log, "vm-3", RunOutcome.FAILED)
    start(log, "vm-1", run=2)
    assert find(log, "vm-1") == {}


def test_task_gets_one_copy_at_most():
    """Guards against a chain of copies when the VM of the copy is silent, too."""
    log = make_log(Step(count=1, duplicates=True), max_attempts=9)
    start(log, "vm-1")
    start(log, "vm-3", run=2)
    assert find(log, "vm-1", "vm-3") == {}
    end(log, "vm-1", RunOutcome.LAPSED)
    assert find(log, "vm-1", "vm-3") == {STEP: {0: frozenset({"vm-3"})}}


def test_cancelled_workflow_gets_no_copy():
    """Guards against starts that nobody asked for."""
    log = make_log(Step(count=1, duplicates=True))
    start(log, "vm-1")
    log.apply(CancelWorkflow(workflow_id="w", at_ms=1))
    assert find(log, "vm-1") == {}


@pytest.mark.parametrize("order", [1, -1], ids=["kind first", "rack first"])
def test_rack_is_found_among_the_labels(order):
    """Guards against taking the kind of a VM for its rack, which would exclude most of the pool."""
    log = Log(WorkflowState())
    for number in range(6):
        labels = (("a", "b")[number % 2], f"r{number // 2}")
        log.apply(make_vm(f"vm-{number}", labels=labels[::order]))
    racks = RackMap(log.state.tables.vms)
    assert racks.rack_of("vm-2") == "r1"
    assert racks.vms_in_rack_of("vm-2") == {"vm-2", "vm-3"}


def test_label_of_all_vms_is_no_rack():
    """Guards against no copy at all in a fleet with one rack."""
    log = Log(WorkflowState())
    for number in range(3):
        log.apply(make_vm(f"vm-{number}"))
    assert RackMap(log.state.tables.vms).vms_in_rack_of("vm-0") == {"vm-0"}


@pytest.mark.parametrize(
    ("elapsed_s", "listed_s", "percent", "expected"),
    [
        pytest.param(0.9, 0.8, 20, True, id="five times slower"),
        pytest.param(0.9, 0.8, 0, True, id="no progress"),
        pytest.param(0.7, 0.7, 20, False, id="within the usual spread"),
        pytest.param(0.9, 0.8, 80, False, id="almost done"),
        pytest.param(0.9, 0.1, 0, False, id="listed once, just after its start"),
    ],
)
def test_slow_run_is_one_that_a_copy_would_overtake(elapsed_s, listed_s, percent, expected):
    """Guards against copies that end later than the run, and against a judgement before there is progress to see."""
    pace = RunPace(elapsed_s=elapsed_s, listed_s=listed_s, percent=percent)
    assert is_slow(pace, usual_s=0.6, slow_s=0.75) is expected


def test_budget_counts_copies_in_progress_but_not_those_of_silent_vms():
    """Guards against a dark rack whose copies use up the budget, and against copies beyond it."""
    log = make_log(Step(count=1, cpu_millis=1500, duplicates=True))
    start(log, "vm-1")
    start(log, "vm-3", run=2)
    tables, indexes = log.state.tables, log.state.indexes
    # A twentieth of four VMs of eight cores is 1.6 cores.
    assert not CopyBudget(tables=tables, indexes=indexes, silent_vms=()).has("vans", 1500)
    budget = CopyBudget(tables=tables, indexes=indexes, silent_vms={"vm-1"})
    assert budget.has("vans", 1500)
    budget.reserve("vans", 1500)
    assert not budget.has("vans", 1500)
    assert not budget.has("unknown", 1500)
