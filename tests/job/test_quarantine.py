"""Tests of the quarantine of faulty VMs."""

from __future__ import annotations

import pytest

from hyssopway.control.record import JobStatus, RunOutcome, VmState


async def _run_burst(leader, *, rounds, fails):
    """Submits four jobs a round and ends every run at once; returns the number of starts by VM."""
    starts: dict[str, int] = {}
    for number in range(rounds):
        for part in range(4):
            leader.submitter.accept(f"j{number}-{part}", team="blue", task_kind=f"k{part % 2}")
        await leader.round()
        for job in [leader.jobs[name] for name in leader.running()]:
            vm = job.run.vm
            starts[vm] = starts.get(vm, 0) + 1
            leader.end(job.job_id, RunOutcome.FAILED if fails(job, vm) else RunOutcome.DONE)
        leader.submitter.at_ms += 500
        leader.clock.now += 0.5
    return starts


def _states(leader):
    return [vm.state for vm in leader.submitter.state.tables.vms.values()]


@pytest.mark.parametrize(
    ("fails", "quarantined"),
    [
        (lambda _, vm: vm == "vm0", 1),
        (lambda job, _: job.spec.task_kind == "k1", 0),
        (lambda _, vm: vm in ("vm0", "vm1", "vm2", "vm3"), 2),
        (lambda *_: True, 0),
        (lambda *_: False, 0),
    ],
    ids=["one faulty VM", "one faulty task kind", "a faulty rack", "all runs fail", "no run fails"],
)
async def test_quarantine_finds_only_faulty_vms(leader, fails, quarantined):
    """Guards against a faulty VM that fails many jobs, and a faulty job that gets healthy VMs quarantined."""
    for number in range(8):
        leader.submitter.register(f"vm{number}", rack=f"r{number // 4}")
    await _run_burst(leader, rounds=30, fails=fails)
    assert _states(leader).count(VmState.QUARANTINED) == quarantined


async def test_faulty_vm_is_found_within_twelve_starts_and_fails_no_job(leader):
    """Guards against jobs that use up their attempts on one faulty VM."""
    for number in range(8):
        leader.submitter.register(f"vm{number}")
    starts = await _run_burst(leader, rounds=40, fails=lambda _, vm: vm == "vm0")
    assert leader.submitter.state.tables.vms["vm0"].state is VmState.QUARANTINED
    assert starts["vm0"] <= 12
    assert not [job for job in leader.jobs.values() if job.status is JobStatus.FAILED]


async def test_repaired_vm_is_released_after_probe_runs(leader):
    """Guards against a VM that stays quarantined after its repair."""
    for number in range(4):
        leader.submitter.register(f"vm{number}")
    faulty = {"vm0"}
    await _run_burst(leader, rounds=30, fails=lambda _, vm: vm in faulty)
    assert leader.submitter.state.tables.vms["vm0"].state is VmState.QUARANTINED
    faulty.clear()
    for round_ in range(30, 200):
        leader.submitter.accept(f"more{round_}", team="blue", task_kind="k0")
        await leader.round()
        for name in leader.running():
            leader.end(name)
        leader.clock.now += 1
    assert leader.submitter.state.tables.vms["vm0"].state is VmState.READY


async def test_vm_that_only_fails_is_excluded_before_other_vms_succeed(leader):
    """Guards against a faulty VM that fails a whole first burst, before any run on another VM has succeeded."""
    for number in range(8):
        leader.submitter.register(f"vm{number}")
    for number in range(60):
        leader.submitter.accept(f"j{number}", team="blue")
    starts = 0
    for _ in range(10):
        await leader.round()
        failed = [name for name in leader.running() if leader.vm_of(name) == "vm0"]
        starts += len(failed)
        for name in failed:
            leader.end(name, RunOutcome.FAILED)
    assert starts == 4
    assert leader.submitter.state.tables.vms["vm0"].state is VmState.READY
