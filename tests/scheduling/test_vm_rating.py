"""Ratings of VMs from the ends of runs, with seeded histories of many workflows."""

from __future__ import annotations

import random

import pytest

from hyssopway.scheduling.rating import Rating
from hyssopway.scheduling.vm_evidence import MIN_PROBE_WAIT_S
from hyssopway.scheduling.vm_judgement import FLAP_WINDOW_S
from hyssopway.scheduling.vm_place import VmPlace
from hyssopway.scheduling.vm_rating import AVOIDED_DIVISOR, MAX_PROBE_WAIT_S, MAX_STEPS, VmRatings
from hyssopway.workflow import TaskId

VM_COUNT = 60
TASKS = 8
TASK_S = 0.6
PLACES = {f"vm-{number}": VmPlace("vans", f"r{number % 6}") for number in range(VM_COUNT)}
SEEDS = range(5)


class History:
    """Workflows of eight tasks with two attempts, placed at random on VMs that are not avoided.

    Attributes:
        ratings: Ratings under test.
        failure_rate: Share of runs that fail, by VM.
        factor: Factor on the duration of runs, by VM.
        impossible: Share of workflows whose runs all fail.
        changes: Changes of ratings so far.
    """

    def __init__(self, *, seed, failure_rate=None, factor=None, impossible=0.0):
        self.random = random.Random(seed)
        self.ratings = VmRatings()
        self.failure_rate = failure_rate or {}
        self.factor = factor or {}
        self.impossible = impossible
        self.changes = []
        self.now = 0.0

    def play(self, count):
        for number in range(count):
            self.now += 0.02
            is_impossible = self.random.random() < self.impossible
            for index in range(TASKS):
                self.run_task(TaskId(f"w{number}", 0, 0, index), is_impossible=is_impossible)
            self.changes += self.ratings.assess(PLACES, now=self.now)
        return self

    def run_task(self, task, *, is_impossible):
        for run in (1, 2):
            vms = [vm for vm in PLACES if self.ratings.rating(vm) is Rating.PREFERRED]
            vm = self.random.choice(sorted(set(vms) - self.ratings.failed_on(task)))
            fails = is_impossible or self.random.random() < self.failure_rate.get(vm, 0.0)
            duration_s = TASK_S * self.factor.get(vm, 1.0) * self.random.uniform(0.8, 1.3)
            self.ratings.record_end(
                vm=vm,
                task=task,
                run_key=f"{task.name}/{run}",
                is_done=not fails,
                duration_s=None if fails else duration_s,
                now=self.now,
            )
            if not fails:
                return

    def avoided(self):
        return {change.vm for change in self.changes if change.rating is Rating.AVOIDED}


def choose(seed, divisor):
    return random.Random(seed + 100).sample(sorted(PLACES), VM_COUNT // divisor)


def end(ratings, vm, task, *, is_done=True, duration_s=TASK_S, run=1, now=0.0):
    ratings.record_end(
        vm=vm, task=task, run_key=f"{task.name}/{run}", is_done=is_done, duration_s=duration_s, now=now
    )


def make_bad(ratings, vm, *, now=0.0):
    """Records three workflows that failed on a VM and succeeded on another."""
    for number in range(3):
        end(ratings, vm, TaskId(f"{vm}-{number}", 0, 0, 0), is_done=False, now=now)
        end(ratings, "vm-59", TaskId(f"{vm}-{number}", 0, 0, 1), now=now)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("rate", [0.5, 1.0])
def test_failing_tenth_of_the_vms_is_found(seed, rate):
    """Guards against VMs that fail half of their runs and therefore never fail many runs in a row."""
    bad = choose(seed, 10)
    history = History(seed=seed, failure_rate=dict.fromkeys(bad, rate)).play(300)
    assert history.avoided() == set(bad)


@pytest.mark.parametrize("seed", SEEDS)
def test_slow_sixth_of_the_vms_is_found(seed):
    """Guards against VMs that complete every run and take five times as long as others."""
    slow = choose(seed, 6)
    history = History(seed=seed, factor=dict.fromkeys(slow, 5.0)).play(300)
    assert history.avoided() == set(slow)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("impossible", [0.03, 0.2])
def test_impossible_workflows_lower_no_rating(seed, impossible):
    """Guards against healthy VMs that are avoided because of jobs that fail everywhere."""
    history = History(seed=seed, impossible=impossible).play(1000)
    assert history.changes == []
    assert history.ratings.unreliable_vms() == set()


@pytest.mark.parametrize("seed", SEEDS)
def test_bad_vms_are_found_among_impossible_workflows(seed):
    """Guards against bad VMs that hide behind bad jobs, and against good VMs that are blamed for both."""
    bad = choose(seed, 10)
    history = History(seed=seed, failure_rate=dict.fromkeys(bad, 0.5), impossible=0.03).play(300)
    assert history.avoided() == set(bad)


def test_failure_on_two_vms_counts_against_the_job():
    """Guards against ratings that fall for one bad task among good siblings."""
    ratings = VmRatings()
    for number in range(9):
        task = TaskId(f"w{number}", 0, 0, 0)
        end(ratings, "vm-0", task, is_done=False)
        end(ratings, "vm-1", task, is_done=False, run=2)
        end(ratings, "vm-2", TaskId(f"w{number}", 0, 0, 1))
    assert ratings.assess(PLACES, now=0.0) == []


def test_one_workflow_does_not_lower_a_rating():
    """Guards against a VM that is avoided for a single workflow that does not get along with it."""
    ratings = VmRatings()
    for index in range(6):
        end(ratings, "vm-0", TaskId("w", 0, 0, index), is_done=False)
        end(ratings, "vm-1", TaskId("w", 0, 0, index + 6))
    assert ratings.assess(PLACES, now=0.0) == []


def test_at_most_a_quarter_of_a_pool_is_avoided():
    """Guards against a pool without VMs when all of them turn bad."""
    ratings = VmRatings()
    for vm in PLACES:
        make_bad(ratings, vm)
    ratings.assess(PLACES, now=0.0)
    avoided = [vm for vm in PLACES if ratings.rating(vm) is not Rating.PREFERRED]
    assert len(avoided) == VM_COUNT // AVOIDED_DIVISOR


def test_rack_with_mostly_bad_vms_is_avoided_as_a_unit():
    """Guards against placing tasks on the rest of a rack whose VMs turn bad one after another."""
    ratings = VmRatings()
    rack = [vm for vm, place in PLACES.items() if place.rack == "r0"]
    for vm in rack[:6]:
        make_bad(ratings, vm)
    ratings.assess(PLACES, now=0.0)
    assert {vm for vm in PLACES if ratings.rating(vm) is Rating.AVOIDED} == set(rack)


def test_vm_that_flaps_is_avoided_and_a_dark_rack_is_not():
    """Guards against placing tasks again and again on a VM that alternates between down and up."""
    ratings = VmRatings()
    for vm in ("vm-0", "vm-6", "vm-12"):
        ratings.record_silence(vm, now=0.0)
    ratings.assess(PLACES, now=0.0)
    ratings.record_silence("vm-0", now=5.0)
    ratings.record_silence("vm-6", now=FLAP_WINDOW_S + 1.0)
    changes = ratings.assess(PLACES, now=5.0)
    assert [change.vm for change in changes] == ["vm-0"]


def test_vm_that_leaves_orders_unanswered_is_avoided():
    """Guards against tasks that wait for repeated orders; three lost orders in ten are no reason."""
    ratings = VmRatings()
    for number in range(16):
        ratings.record_order("vm-0", is_answered=number % 10 < 3)
        ratings.record_order("vm-1", is_answered=number % 10 >= 3)
        for vm in ("vm-0", "vm-1"):
            ratings.record_contact(vm)
    assert [change.vm for change in ratings.assess(PLACES, now=0.0)] == ["vm-0"]


def test_orders_lost_together_count_once():
    """Guards against avoiding a VM whose 16 orders of one round timed out while the leader was busy."""
    ratings = VmRatings()
    for _ in range(16):
        ratings.record_order("vm-0", is_answered=False)
    ratings.record_contact("vm-0")
    assert ratings.assess(PLACES, now=0.0) == []


@pytest.mark.parametrize("later", [0, 5])
def test_lost_orders_of_a_silent_vm_do_not_count(later):
    """Guards against avoiding the VMs of a dark rack, before they count as silent or after they have returned."""
    ratings = VmRatings()
    for _ in range(16):
        ratings.record_order("vm-0", is_answered=False)
    assert ratings.assess(PLACES, now=0.0) == []
    ratings.record_silence("vm-0", now=0.0)
    for _ in range(later):
        ratings.record_order("vm-0", is_answered=False)
    ratings.record_contact("vm-0")
    assert ratings.assess(PLACES, now=0.0) == []


def test_lossy_network_lowers_no_rating():
    """Guards against a quarter of each pool that is avoided while the network loses calls to all VMs."""
    ratings = VmRatings()
    for number, vm in enumerate(PLACES):
        for now in (0.0, 5.0) if number % 3 else ():
            ratings.record_silence(vm, now=now)
        for order in range(16):
            ratings.record_order(vm, is_answered=order % 3 == 0)
            ratings.record_contact(vm)
    assert ratings.assess(PLACES, now=5.0) == []


@pytest.mark.parametrize("seed", SEEDS)
def test_orders_that_are_lost_evenly_lower_no_rating(seed):
    """Guards against avoiding up to a quarter of a pool when all its VMs leave 0.4 of the orders unanswered."""
    rng, ratings = random.Random(seed), VmRatings()
    for number in range(100):
        for vm in PLACES:
            ratings.record_order(vm, is_answered=rng.random() >= 0.4)
            ratings.record_contact(vm)
        assert ratings.assess(PLACES, now=0.1 * number) == []


def test_avoided_vm_is_probed_and_reinstated():
    """Guards against a VM that stays out for ever, or that returns without having done any work."""
    ratings = VmRatings()
    make_bad(ratings, "vm-0")
    ratings.assess(PLACES, now=0.0)
    assert not ratings.may_probe("vm-0", runs=())
    now = MIN_PROBE_WAIT_S
    ratings.assess(PLACES, now=now)
    for number in range(2):
        assert ratings.rating("vm-0") is Rating.PROBED
        assert ratings.may_probe("vm-0", runs=())
        task = TaskId(f"probe-{number}", 0, 0, 0)
        ratings.start_probe("vm-0", run_key=f"{task.name}/1")
        assert not ratings.may_probe("vm-0", runs={f"{task.name}/1"})
        end(ratings, "vm-0", task, now=now)
        ratings.assess(PLACES, now=now)
    assert ratings.rating("vm-0") is Rating.PREFERRED
    assert ratings.unreliable_vms() == set()
    assert ratings.is_settled


@pytest.mark.parametrize(("is_done", "duration_s"), [(False, TASK_S), (True, 5 * TASK_S)])
def test_failed_or_slow_probe_delays_the_next_one(is_done, duration_s):
    """Guards against probes that take an attempt of one task after another."""
    ratings = VmRatings()
    make_bad(ratings, "vm-0")
    ratings.assess(PLACES, now=0.0)
    now, waits = 0.0, []
    for number in range(7):
        due_at = ratings.vms["vm-0"].probe_due_at
        waits.append(due_at - now)
        now = due_at
        ratings.assess(PLACES, now=now)
        task = TaskId(f"probe-{number}", 0, 0, 0)
        for index in (1, 2):
            end(ratings, "vm-1", TaskId(task.workflow, 0, 0, index))
        ratings.start_probe("vm-0", run_key=f"{task.name}/1")
        end(ratings, "vm-0", task, is_done=is_done, duration_s=duration_s, now=now)
        assert ratings.rating("vm-0") is Rating.AVOIDED
    assert waits[:3] == [MIN_PROBE_WAIT_S, 2 * MIN_PROBE_WAIT_S, 4 * MIN_PROBE_WAIT_S]
    assert waits[-1] == MAX_PROBE_WAIT_S


def test_lost_probe_is_repeated():
    """Guards against a VM that is never probed again because its probe run was stopped or its order lost."""
    ratings = VmRatings()
    make_bad(ratings, "vm-0")
    ratings.assess(PLACES, now=0.0)
    ratings.assess(PLACES, now=MIN_PROBE_WAIT_S)
    ratings.start_probe("vm-0", run_key="w.0.0.0/1")
    assert ratings.may_probe("vm-0", runs=())


def test_new_boot_and_removed_vm_reset_the_rating():
    """Guards against a repaired VM that stays out, and against evidence that grows with VMs that have left."""
    ratings = VmRatings()
    for vm in ("vm-0", "vm-1"):
        make_bad(ratings, vm)
    ratings.assess(PLACES, now=0.0)
    ratings.reset("vm-0")
    assert ratings.rating("vm-0") is Rating.PREFERRED
    ratings.assess({vm: place for vm, place in PLACES.items() if vm != "vm-1"}, now=0.0)
    assert "vm-1" not in ratings.vms


def test_evidence_is_bounded():
    """Guards against memory that grows with the number of steps."""
    ratings = VmRatings()
    for number in range(MAX_STEPS + 50):
        end(ratings, "vm-0", TaskId(f"w{number}", 0, 0, 0))
    assert len(ratings.steps) == MAX_STEPS


@pytest.mark.parametrize("cause", ["silences", "orders"])
def test_vm_in_contact_is_reinstated_without_probes(cause):
    """Guards against a VM of a pool without short tasks that is avoided for ever, because nothing can probe it."""
    ratings = VmRatings()
    for _ in range(20):
        if cause == "silences":
            ratings.record_silence("vm-1", now=1.0)
        ratings.record_order("vm-1", is_answered=False)
        ratings.record_contact("vm-1")
    ratings.assess(PLACES, now=1.0)
    assert ratings.rating("vm-1") is Rating.AVOIDED
    ratings.assess(PLACES, now=1.0 + MIN_PROBE_WAIT_S)
    ratings.assess(PLACES, now=FLAP_WINDOW_S)
    assert ratings.rating("vm-1") is Rating.PROBED
    ratings.record_silence("vm-1", now=FLAP_WINDOW_S)
    ratings.assess(PLACES, now=3 * FLAP_WINDOW_S)
    assert ratings.rating("vm-1") is Rating.PROBED
    ratings.record_contact("vm-1")
    changes = ratings.assess(PLACES, now=3 * FLAP_WINDOW_S)
    assert [(change.vm, change.rating) for change in changes] == [("vm-1", Rating.PREFERRED)]


def test_evidence_of_removed_vms_is_dropped_without_failures():
    """Guards against evidence that grows with each machine that moves, since its VM gets another ID."""
    ratings = VmRatings()
    for number in range(2000):
        ratings.record_order(f"moved-{number}", is_answered=True)
        if not ratings.is_settled:
            ratings.assess(PLACES, now=float(number))
    assert len(ratings.vms) <= 2 * VM_COUNT
