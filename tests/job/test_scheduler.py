"""Tests of placement, fair shares and reclaiming."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopway.control.command import PromoteDocument, SetZone, TrialDocument
from hyssopway.control.record import JobStatus, ReclaimAction, RunOutcome, ZoneStatus
from hyssopway.document import Resources
from hyssopway.job import TaskUsage, explain_pending
from hyssopway.job.capacity_tree import UNAVAILABLE, CapacityTree
from hyssopway.job.estimates import MAX_KINDS, Estimates
from states import CAPACITY, DOCUMENT

HALF = Resources(cores=8, memory_gb=32)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(size=st.integers(1, 40), seed=st.integers(0, 1000))
def test_tree_finds_a_vm_if_and_only_if_one_fits(size, seed):
    """Guards against a job that stays pending although a VM fits, and a placement on a VM that is too full."""
    rng = random.Random(seed)
    free = {f"v{number}": (UNAVAILABLE, UNAVAILABLE) for number in range(size)}
    tree = CapacityTree(list(free))
    filled = [name for name in free if rng.random() < 0.5]
    free |= {name: (rng.randint(0, 8), rng.randint(0, 8)) for name in filled}
    tree.set_all({name: free[name] for name in filled})
    for _ in range(3 * size):
        name = rng.choice(list(free))
        free[name] = (
            (rng.randint(0, 8), rng.randint(0, 8)) if rng.random() < 0.8 else (UNAVAILABLE, UNAVAILABLE)
        )
        tree.set(name, cores=free[name][0], memory_gb=free[name][1])
        cores, memory_gb = rng.randint(0, 8), rng.randint(0, 8)
        found = tree.find(cores=cores, memory_gb=memory_gb)
        fitting = {name for name, (left, memory) in free.items() if left >= cores and memory >= memory_gb}
        assert (found in fitting) if fitting else found is None


async def test_tasks_spread_over_zones_and_racks(leader):
    """Guards against a placement in which the failure of one rack ends all tasks."""
    for number in range(8):
        zone, rack = "ab"[number % 2], f"r{number // 2 % 2}"
        leader.submitter.register(f"vm{number}", zone=zone, rack=rack)
    for number in range(4):
        leader.submitter.accept(f"j{number}", team="blue")
    await leader.round()
    vms = leader.submitter.state.tables.vms
    places = {(vms[leader.vm_of(job)].zone, vms[leader.vm_of(job)].rack) for job in leader.running()}
    assert len(places) == 4


async def test_small_jobs_do_not_fragment_accelerator_vms(leader):
    """Guards against accelerators that stay unused because jobs without accelerators fill their VM."""
    leader.submitter.register("plain")
    leader.submitter.register("gpu", capacity=Resources(cores=16, memory_gb=64, accelerators=4))
    for number in range(4):
        leader.submitter.accept(f"small{number}", team="blue")
    leader.submitter.accept("big", team="blue", resources=Resources(cores=16, memory_gb=64, accelerators=4))
    await leader.round()
    assert {leader.vm_of(f"small{number}") for number in range(4)} == {"plain"}
    assert leader.vm_of("big") == "gpu"


async def test_estimate_corrects_the_declared_size(leader):
    """Guards against a fleet that stays half empty because submitters declare more than their jobs use."""
    leader.submitter.register("vm")
    for number in range(3):
        leader.submitter.accept(f"j{number}", team="blue", resources=HALF)
        await leader.round()
        usage = TaskUsage(job_id=f"j{number}", epoch=1, usage=Resources(cores=2, memory_gb=4), ran_s=5)
        leader.usage_reports.record(vm="vm", tasks=[usage])
        leader.end(f"j{number}")
    for number in range(4):
        leader.submitter.accept(f"k{number}", team="blue", resources=HALF)
    await leader.round()
    assert len(leader.running()) == 4


async def test_upper_limit_holds_and_blocks_no_other_team(leader):
    """Guards against a team at its limit that keeps others from starting."""
    leader.submitter.register("vm", capacity=Resources(cores=64, memory_gb=256))
    for number in range(6):
        leader.submitter.accept(f"r{number}")
    leader.submitter.accept("b", team="blue")
    await leader.round(3)
    assert len(leader.running("red")) == 3
    assert leader.running("blue") == ["b"]


@pytest.mark.parametrize("checkpointable", [True, False])
async def test_urgent_job_reclaims_capacity_at_once_on_a_full_fleet(leader, checkpointable):
    """Guards against an urgent job that waits until other tasks end by themselves."""
    leader.submitter.register("vm")
    for number in range(2):
        leader.submitter.accept(f"j{number}", team="blue", resources=HALF, checkpointable=checkpointable)
    await leader.round()
    leader.submitter.accept("urgent", resources=HALF, urgent=True)
    await leader.round(2)
    reclaimed = [job for job in leader.jobs.values() if job.run and job.run.reclaim]
    action = ReclaimAction.CHECKPOINT if checkpointable else ReclaimAction.STOP
    assert [job.run.reclaim for job in reclaimed] == [action]
    leader.end(reclaimed[0].job_id, RunOutcome.CHECKPOINTED)
    await leader.round()
    assert leader.vm_of("urgent") == "vm"
    assert any("reclaimed by" in line for line in reclaimed[0].history)


async def test_urgent_reclaim_is_retried_on_another_vm(leader):
    """Guards against an urgent job that waits for one reclaimed task which does not end."""
    for number in range(2):
        leader.submitter.register(f"vm{number}", rack=f"a-{number}")
        leader.submitter.accept(f"j{number}", team="blue", resources=CAPACITY)
    await leader.round()
    leader.submitter.accept("urgent", resources=CAPACITY, urgent=True)
    await leader.round(30)
    assert [job.run.reclaim for job in leader.jobs.values() if job.run] == [ReclaimAction.STOP] * 2


async def test_share_is_reclaimed_by_throttle_and_then_by_stop(leader):
    """Guards against a team above its fair share that keeps capacity which another team is entitled to."""
    leader.submitter.register("vm", capacity=Resources(cores=16, memory_gb=256))
    for number in range(3):
        leader.submitter.accept(f"r{number}", resources=Resources(cores=5, memory_gb=1))
    await leader.round()
    for number in range(9):
        leader.submitter.accept(f"b{number}", team="blue", resources=Resources(cores=4, memory_gb=1))
    await leader.round()
    assert {leader.jobs[job].run.reclaim for job in leader.running("red")} >= {ReclaimAction.THROTTLE}
    leader.clock.now += 2
    await leader.round(2)
    stopped = [job for job in leader.running("red") if leader.jobs[job].run.reclaim is ReclaimAction.STOP]
    assert len(stopped) in (1, 2)
    for job in stopped:
        leader.end(job, RunOutcome.STOPPED)
    await leader.round()
    assert leader.running("blue")
    assert leader.jobs[stopped[0]].failures == 0


async def test_returning_zone_is_filled_in_steps(leader):
    """Guards against a returning zone that gets all work at once and fails again."""
    for number in range(4):
        leader.submitter.register(f"vm{number}")
    leader.submitter.apply_or_fail(
        SetZone(zone="a", status=ZoneStatus.RETURNING, request_id="r", operator="o")
    )
    for number in range(20):
        leader.submitter.accept(f"j{number}", team="blue")
    for expected in (4, 8, 12, 16):
        await leader.round()
        assert len(leader.running()) == expected
        leader.clock.now += 2


async def test_job_that_can_no_longer_run_is_rejected_and_blocks_no_other(leader):
    """Guards against a job that stays pending forever after the VMs that fit it left the pool."""
    leader.submitter.accept("big", team="blue", resources=Resources(cores=99, memory_gb=1))
    leader.submitter.accept("small", team="blue")
    leader.submitter.register("vm")
    await leader.round()
    assert leader.jobs["big"].status is JobStatus.CANNOT_RUN
    assert "bigger than every VM" in leader.jobs["big"].detail
    assert leader.vm_of("small") == "vm"


async def test_failed_job_is_retried_without_further_commands(leader):
    """Guards against a retry that never comes because no command advances the cluster time of the state."""
    leader.submitter.register("vm")
    leader.submitter.accept("j")
    await leader.round()
    leader.end("j", RunOutcome.FAILED)
    await leader.round()
    assert leader.vm_of("j") == ""
    leader.submitter.at_ms += 1_100
    await leader.round()
    assert leader.vm_of("j") == "vm"


async def test_refused_start_releases_its_capacity(leader, monkeypatch):
    """Guards against capacity that stays reserved for a start which the state machine refused."""
    leader.submitter.register("vm")
    leader.submitter.accept("j", resources=Resources(cores=16, memory_gb=64))
    submit = leader.submitter.submit

    async def submit_late(command, **options):
        leader.submitter.state.tables.vms["vm"].epoch += len(leader.submitter.commands) == 0
        return await submit(command, **options)

    monkeypatch.setattr(leader.submitter, "submit", submit_late)
    await leader.round()
    assert leader.vm_of("j") == ""
    await leader.round()
    assert leader.vm_of("j") == "vm"


async def test_lowered_limit_is_enforced_on_running_tasks(leader):
    """Guards against a team that stays above its upper limit after operators lowered it."""
    leader.submitter.register("vm", capacity=Resources(cores=64, memory_gb=256))
    for number in range(3):
        leader.submitter.accept(f"r{number}")
    await leader.round()
    text = DOCUMENT.replace("max_running: 3,", "max_running: 1,")
    trial = TrialDocument(text=text, expected_generation=1, request_id="t2", operator="o")
    digest = leader.submitter.apply_or_fail(trial).reference
    leader.submitter.apply_or_fail(
        PromoteDocument(digest=digest, expected_generation=1, request_id="p2", operator="o")
    )
    await leader.round(3)
    reclaimed = [job for job in leader.jobs.values() if job.run and job.run.reclaim is ReclaimAction.STOP]
    assert len(reclaimed) == 2
    assert "above its upper limit of 1 tasks" in reclaimed[0].history[-1]
    assert len(reclaimed[0].history) == 2


@pytest.mark.parametrize(
    ("jobs", "register", "rule"),
    [
        (4, True, "upper limit: team red holds 3 of 3"),
        (1, False, "capacity: by declared sizes the job fits on 0"),
    ],
    ids=["limit", "room"],
)
async def test_pending_job_is_explained(leader, jobs, register, rule):
    """Guards against a pending job for which no reason is reported."""
    if register:
        leader.submitter.register("vm")
    for number in range(jobs):
        leader.submitter.accept(f"r{number}")
    await leader.round()
    assert rule in explain_pending(leader.submitter.state, job=leader.jobs[f"r{jobs - 1}"])


def test_estimates_evict_the_oldest_of_too_many_kinds():
    """Guards against submitters that exhaust the leader's memory with many task kinds."""
    estimates = Estimates()
    for number in range(MAX_KINDS + 5):
        estimates.observe(team="red", task_kind=f"k{number}", usage=HALF, ran_s=1)
    assert len(estimates.kinds) == MAX_KINDS
    assert ("red", "k0") not in estimates.kinds


async def test_withdrawn_zone_gets_no_work_until_it_is_open_again(leader):
    """Guards against a scheduler that misses a change of a zone's status."""
    leader.submitter.register("vm-a", zone="a")
    leader.submitter.register("vm-b", zone="b")
    for number, (status, vms) in enumerate(
        [
            (ZoneStatus.OPEN, {"vm-a", "vm-b"}),
            (ZoneStatus.WITHDRAWN, {"vm-b"}),
            (ZoneStatus.OPEN, {"vm-a", "vm-b"}),
        ]
    ):
        leader.submitter.apply_or_fail(
            SetZone(zone="a", status=status, request_id=f"z{number}", operator="o")
        )
        for part in range(2):
            leader.submitter.accept(f"j{number}-{part}", team="blue")
        await leader.round()
        assert {leader.vm_of(name) for name in leader.running()} == vms
        assert all(outcome is None for outcome in leader.submitter.outcomes)
        for name in leader.running():
            leader.end(name)


async def test_vms_of_a_silent_home_get_no_work_until_it_is_in_contact(leader):
    """Guards against jobs placed on workers whose home cannot send them start orders."""
    leader.submitter.register("vm-1", home="h1")
    leader.submitter.register("vm-2", home="h2")
    for number, (silent, vms) in enumerate([({"h2"}, {"vm-1"}), (set(), {"vm-1", "vm-2"})]):
        leader.scheduler.planner.find_silent_homes = lambda silent=silent: frozenset(silent)
        for part in range(2):
            leader.submitter.accept(f"j{number}-{part}", team="blue")
        await leader.round()
        assert {leader.vm_of(name) for name in leader.running()} == vms
        for name in leader.running():
            leader.end(name)
