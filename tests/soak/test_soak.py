"""Runs the soak test briefly, and longer with fixed seeds and all seeds that failed before."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import pytest

from .held_calls import HeldCalls
from .invariant_checker import InvariantChecker, Job, VmTraits
from .soak_run import SoakRun
from .worker_vm import MAX_LEASE_MS, WorkerVm

SEEDS_FILE = Path(__file__).with_name("seeds.txt")
# Second word of the line of a seed that failed in a run with spread tasks, or with restarts and cuts.
SPREAD_MARK, CUTS_MARK = "spread:", "cuts:"


def read_failed_seeds(mark=""):
    """Returns the seeds that failed in runs of one kind; without a mark, in runs of neither kind."""
    lines = [
        line.split() for line in SEEDS_FILE.read_text().splitlines() if line and not line.startswith("#")
    ]
    marks = {words[0]: words[1] if words[1] in (SPREAD_MARK, CUTS_MARK) else "" for words in lines}
    return [int(seed) for seed, found in marks.items() if found == mark]


async def test_guarantees_hold_under_injected_faults(tmp_path):
    """Guards against defects of the platform programs that only show when they run as processes."""
    report = await SoakRun(seed=1, folder=tmp_path, has_spread_tasks=False).run(for_s=8.0)
    assert report.broken == [], report.describe()
    assert report.accepted > 10
    assert report.starts > report.accepted


@pytest.mark.faults
@pytest.mark.parametrize("seed", [2, 3, 4, *read_failed_seeds()])
async def test_guarantees_hold_in_longer_runs(tmp_path, seed):
    """Guards against defects that need a series of faults, and against regressions of failed seeds."""
    report = await SoakRun(seed=seed, folder=tmp_path, has_spread_tasks=False).run(for_s=20.0)
    assert report.broken == [], report.describe()


@pytest.mark.faults
@pytest.mark.parametrize("seed", read_failed_seeds(SPREAD_MARK))
async def test_guarantees_hold_for_spread_tasks(tmp_path, seed):
    """Guards against two tasks of a spread step on one VM when rounds of placement overlap (ROUTE)."""
    report = await SoakRun(seed=seed, folder=tmp_path).run(for_s=20.0)
    assert report.broken == [], report.describe()


@pytest.mark.faults
@pytest.mark.parametrize("seed", read_failed_seeds(CUTS_MARK))
async def test_guarantees_hold_when_restarted_vms_are_cut_off(tmp_path, seed):
    """Guards against a second run beside one under a lease that was sent to an earlier boot (TWICE)."""
    run = SoakRun(seed=seed, folder=tmp_path, has_spread_tasks=False, has_restart_cuts=True)
    report = await run.run(for_s=25.0)
    assert report.broken == [], report.describe()


@pytest.fixture
async def worker():
    """A VM of the job "a" without a server, in its first boot."""
    checker = InvariantChecker(max_attempts=3)
    checker.jobs["a"] = Job(steps=(1,), duplicates=False)
    held_calls = HeldCalls(rng=random.Random(1))
    vm = WorkerVm(name="m0", checker=checker, rng=random.Random(1), control=[], held_calls=held_calls)
    vm._start_boot()
    yield vm
    await vm.stop()


def make_start(*, deadline_ms, cpu_millis=1000):
    specification = f"{cpu_millis} 9.0"
    return {
        "task": "a.0.0.0",
        "run": 1,
        "specification": specification,
        "deadline_ms": deadline_ms,
        "fencing_token": 1,
    }


@pytest.mark.parametrize("call", ["run-start", "hold"])
async def test_next_boot_takes_longest_lease_from_call_to_earlier_boot(worker, call):
    """Guards against a soak whose VMs forget calls on their way when they restart under their ID."""
    body = make_start(deadline_ms=worker.clock_ms + 4000) | {"last_seen": 0}
    late = asyncio.create_task(worker._carry_out_late(call, body=body, delay_s=0.05))
    await asyncio.sleep(0)
    worker.crash(keeps_id=True)
    await late
    assert worker.held_calls.carried_over == {call: 1}
    assert MAX_LEASE_MS - 500 < worker.lease_expiry_ms - worker.clock_ms <= MAX_LEASE_MS


@pytest.mark.parametrize(("cpu_millis", "ended_run", "reason"), [(9000, 0, "room"), (1000, 1, "old")])
async def test_refused_start_leaves_its_lease(worker, cpu_millis, ended_run, reason):
    """Guards against a soak whose VMs take no lease from a start that they refuse."""
    worker.rejects_overload = True
    worker.highest_ended_run = {"a.0.0.0": ended_run}
    body = make_start(deadline_ms=worker.clock_ms + 4000, cpu_millis=cpu_millis)
    response = worker._execute("run-start", body=body, is_late=False)
    assert reason in response.text
    assert worker.lease_expiry_ms == body["deadline_ms"]


def test_checker_accepts_end_that_nobody_takes_note_of():
    """Guards against a check that forbids to run a task again whose end was lost with its VM."""
    checker = InvariantChecker(max_attempts=3)
    checker.jobs["a"] = Job(steps=(1,), duplicates=False)
    record_start(checker, "a.0.0.0", 1)
    checker.record_end(task="a.0.0.0", run=1, outcome="done")
    checker.record_forgotten(task="a.0.0.0", run=1, outcome="done")
    record_start(checker, "a.0.0.0", 1)
    checker.record_end(task="a.0.0.0", run=1, outcome="done")
    checker.record_noted(task="a.0.0.0", run=1, vm="m0-1")
    assert checker.broken == []


def test_checker_detects_start_before_end_is_noted():
    """Guards against a check that looks only at starts after an end was taken note of."""
    checker = InvariantChecker(max_attempts=3)
    checker.jobs["a"] = Job(steps=(1,), duplicates=False)
    record_start(checker, "a.0.0.0", 1)
    checker.record_end(task="a.0.0.0", run=1, outcome="done")
    record_start(checker, "a.0.0.0", 2, vm="m1-1")
    assert checker.broken == []
    checker.record_noted(task="a.0.0.0", run=1, vm="m0-1")
    assert [text.split(":")[0] for text in checker.broken] == ["TWICE"]


def record_start(checker, task, run, *, vm="m0-1", is_late=False):
    checker.record_start(task=task, run=run, vm=vm, is_late=is_late)


@pytest.mark.parametrize(
    ("record_events", "guarantee"),
    [
        (lambda checker: (record_start(checker, "a.0.0.0", 1), record_start(checker, "a.0.0.0", 2)), "TWICE"),
        (
            lambda checker: (
                record_start(checker, "a.0.0.0", 1),
                checker.record_end(task="a.0.0.0", run=1, outcome="done"),
                record_start(checker, "a.0.0.0", 1),
            ),
            "TWICE",
        ),
        (
            lambda checker: (
                record_start(checker, "a.0.0.0", 1),
                checker.record_end(task="a.0.0.0", run=1, outcome="done"),
                checker.record_noted(task="a.0.0.0", run=1, vm="m0-1"),
                record_start(checker, "a.0.0.0", 2),
            ),
            "TWICE",
        ),
        (lambda checker: record_start(checker, "a.0.1.0", 1), "ORDER"),
        (lambda checker: record_start(checker, "b.0.0.0", 1), "UNASKED"),
        (
            lambda checker: (checker.failures.update({"a.0.0.0": 3}), record_start(checker, "a.0.0.0", 4)),
            "BUDGET",
        ),
        (
            lambda checker: (
                checker.crashes.update({"a.0.0.0": 3}),
                [record_start(checker, "a.0.0.0", run) for run in (4, 5)],
                checker.running.clear(),
                checker.broken.clear(),
                record_start(checker, "a.0.0.0", 6),
            ),
            "BUDGET",
        ),
        (
            lambda checker: (
                record_start(checker, "c.0.0.0", 1),
                record_start(checker, "c.0.0.1", 1, is_late=True),
            ),
            "ROUTE",
        ),
        (lambda checker: record_start(checker, "c.0.0.0", 1, vm="m1-1"), "ROUTE"),
        (lambda checker: record_start(checker, "c.0.0.0", 1, vm="m2-1"), "ROUTE"),
        (lambda checker: checker.record_overload(task="a.0.0.0", vm="m0-1", used_millis=9000), "LIMIT"),
        (lambda checker: checker.check_state("a", "completed"), "LOST"),
        (lambda checker: checker.check_state("a", "failed"), "LOST"),
        (lambda checker: checker.check_state("a", "cancelled"), "LOST"),
        (lambda checker: (record_start(checker, "a.0.0.0", 1), checker.check_refused_jobs()), "UNASKED"),
    ],
    ids=[
        "copy",
        "run again",
        "run after a noted end",
        "early step",
        "unknown",
        "attempts",
        "crashes",
        "spread",
        "label",
        "pool",
        "capacity",
        "completed",
        "failed",
        "cancelled",
        "refused",
    ],
)
def test_checker_detects_each_violation(record_events, guarantee):
    """Guards against a soak test that passes because its checker detects no violation."""
    checker = InvariantChecker(max_attempts=3)
    checker.jobs["a"] = Job(steps=(1, 1), duplicates=False)
    checker.jobs["c"] = Job(steps=(2,), duplicates=True, queue="q", spread_limit=1, label="x")
    checker.queue_pools["q"] = {"p"}
    checker.vm_traits["m0-1"] = VmTraits(pool="p", labels=("x",))
    checker.vm_traits["m1-1"] = VmTraits(pool="p", labels=())
    checker.vm_traits["m2-1"] = VmTraits(pool="o", labels=("x",))
    record_events(checker)
    assert [text.split(":")[0] for text in checker.broken] == [guarantee]


def test_checker_counts_only_failures_that_can_be_known():
    """Guards against a budget that counts a failure whose VM crashed before anyone could take note of it."""
    checker = InvariantChecker(max_attempts=1)
    checker.jobs["a"] = Job(steps=(1,), duplicates=False)
    record_start(checker, "a.0.0.0", 1)
    checker.record_end(task="a.0.0.0", run=1, outcome="failed")
    checker.record_forgotten(task="a.0.0.0", run=1, outcome="failed")
    record_start(checker, "a.0.0.0", 2)
    assert checker.broken == []
    checker.record_end(task="a.0.0.0", run=2, outcome="failed")
    record_start(checker, "a.0.0.0", 3)
    assert [text.split(":")[0] for text in checker.broken] == ["BUDGET"]


def test_checker_accepts_spread_tasks():
    """Guards against a check that counts the copies of a task, ended runs or other steps against the limit of a step."""
    checker = InvariantChecker(max_attempts=3)
    checker.jobs["c"] = Job(steps=(3, 1), duplicates=True, spread_limit=1)
    record_start(checker, "c.0.0.0", 1)
    record_start(checker, "c.0.0.0", 2, vm="m1-1")
    record_start(checker, "c.0.0.1", 1, vm="m2-1")
    checker.record_end(task="c.0.0.0", run=1, outcome="stopped")
    record_start(checker, "c.0.0.2", 1)
    for task, run in (("c.0.0.0", 2), ("c.0.0.1", 1), ("c.0.0.2", 1)):
        checker.record_end(task=task, run=run, outcome="done")
    record_start(checker, "c.0.1.0", 1)
    assert checker.broken == []
