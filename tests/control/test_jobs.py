"""Checks that are made when commands for jobs and runs are applied."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hyssopway.control import ControlState
from hyssopway.control.apply.runs import PROBATION_MS
from hyssopway.control.command import CancelJob, CancelJobs, EndRun, ReclaimRun
from hyssopway.control.record import JobStatus, ReclaimAction, RunOutcome
from hyssopway.control.record.job import MAX_HISTORY
from hyssopway.document import Resources
from hyssopway.result import ResultCode
from states import make_submitter

if TYPE_CHECKING:
    from states import LocalSubmitter

FINAL_STATUSES = {JobStatus.DONE, JobStatus.FAILED, JobStatus.CANCELLED, JobStatus.CANNOT_RUN}
JOBS = st.sampled_from([f"j{number}" for number in range(8)])
EPOCHS = st.integers(min_value=1, max_value=4)


@pytest.fixture
def submitter() -> LocalSubmitter:
    result = make_submitter()
    result.register("vm")
    return result


def test_jobs_cancelled_together_never_start(submitter):
    """Guards against a cancelled job that starts later, and against cancelling jobs of other teams."""
    for number in range(3):
        submitter.accept(f"j{number}")
    submitter.accept("other", team="blue")
    submitter.start("j0", "vm")
    names = ["j0", "j1", "j2", "other", "missing"]
    assert submitter.apply_or_fail(CancelJobs(job_ids=names, team="red")).generation == 3
    jobs = submitter.state.tables.jobs
    assert [jobs[name].status for name in names[:4]] == ["running", "cancelled", "cancelled", "pending"]
    assert jobs["j0"].cancelling
    assert submitter.start("j1", "vm").failure is not None
    submitter.apply_or_fail(EndRun(job_id="j0", epoch=1, outcome=RunOutcome.STOPPED, vm="vm"))
    assert jobs["j0"].status is JobStatus.CANCELLED


def test_job_bigger_than_every_vm_is_refused_with_the_reason(submitter):
    """Guards against a job that waits forever because no VM is large enough."""
    big = Resources(cores=17, memory_gb=1)
    failure = submitter.accept("big", resources=big).failure
    assert failure is not None
    assert failure.code is ResultCode.JOB_CANNOT_RUN
    assert "bigger than every VM of pool p" in failure.message
    submitter.register("large", capacity=Resources(cores=32, memory_gb=64))
    assert submitter.accept("big", resources=big).failure is None


def lose_run(submitter, *, epoch, boot_id):
    """Starts a run, ends it as lost, and lets the worker come back as another process."""
    assert submitter.start("j", "vm", epoch=epoch).failure is None
    submitter.apply_or_fail(EndRun(job_id="j", epoch=epoch, outcome=RunOutcome.LOST))
    submitter.register("vm", boot_id=boot_id)


def test_job_that_ends_its_workers_is_given_up(submitter):
    """Guards against one job that ends worker after worker because lost runs were not counted."""
    submitter.accept("j")
    job = submitter.state.tables.jobs["j"]
    for epoch in range(1, 5):
        assert job.status is JobStatus.PENDING
        lose_run(submitter, epoch=epoch, boot_id=f"boot-{epoch}")
    # The end of the last worker is known when it is back, so the fourth loss shows three ends.
    assert job.status is JobStatus.FAILED


def test_job_whose_worker_was_only_silent_is_not_given_up(submitter):
    """Guards against giving up a sound job whose zone is cut off again and again."""
    submitter.accept("j")
    for epoch in range(1, 9):
        lose_run(submitter, epoch=epoch, boot_id="b1")
    assert submitter.state.tables.jobs["j"].status is JobStatus.PENDING


def test_job_that_works_for_long_is_not_given_up(submitter):
    """Guards against giving up a long job after some restarts of its workers."""
    submitter.accept("j")
    for epoch in range(1, 9):
        assert submitter.start("j", "vm", epoch=epoch).failure is None
        submitter.state.tables.now_ms += PROBATION_MS + 1
        submitter.register("vm", boot_id=f"boot-{epoch}")
        submitter.apply_or_fail(EndRun(job_id="j", epoch=epoch, outcome=RunOutcome.LOST))
    assert submitter.state.tables.jobs["j"].status is JobStatus.PENDING


def test_history_is_bounded(submitter):
    """Guards against unbounded growth, in every replica, of a job that is reclaimed repeatedly."""
    submitter.accept("j0")
    submitter.start("j0", "vm")
    reclaim = ReclaimRun(job_id="j0", epoch=1, action=ReclaimAction.THROTTLE, reason="test")
    for _ in range(2 * MAX_HISTORY):
        submitter.apply_or_fail(reclaim)
    assert len(submitter.state.tables.jobs["j0"].history) == MAX_HISTORY


def test_restored_state_has_the_same_usage(submitter):
    """Guards against replicas that differ for as long as a team has no run, after one installed a snapshot.

    The sums must not depend on the order of starts and ends either, as sums of floating-point numbers do.
    """
    sizes = (0.1, 0.2, 0.3, 0.7, 1.1)
    for number, cores in enumerate(sizes):
        submitter.accept(f"j{number}", resources=Resources(cores=cores))
    for order in ((0, 1, 2), (3, 4)):
        for number in order:
            submitter.start(f"j{number}", "vm")
            _check_restored_usage(submitter)
        for number in order:
            submitter.apply_or_fail(EndRun(job_id=f"j{number}", epoch=1, outcome=RunOutcome.DONE, vm="vm"))
            _check_restored_usage(submitter)
    assert submitter.state.indexes.usage == {}


def _check_restored_usage(submitter):
    state = ControlState()
    state.restore_snapshot(submitter.state.encode_snapshot())
    assert state.indexes.usage == submitter.state.indexes.usage


class JobMachine(RuleBasedStateMachine):
    """Applies commands for jobs in any order, including repeated and stale ones."""

    def __init__(self) -> None:
        super().__init__()
        self.submitter = make_submitter()
        for number in (1, 2):
            self.submitter.register(f"vm{number}")
        self.accepted: set[str] = set()
        self.final: dict[str, JobStatus] = {}

    @rule(job=JOBS)
    def accept(self, job):
        """Accepts a job, or retries its submission."""
        if self.submitter.accept(job).failure is None:
            self.accepted.add(job)

    @rule(job=JOBS, epoch=EPOCHS, vm=st.sampled_from(["vm1", "vm2"]))
    def start(self, job, epoch, vm):
        """Starts a run, possibly with a stale number."""
        started = self.submitter.start(job, vm, epoch=epoch).failure is None
        assert not (started and job in self.final)

    @rule(job=JOBS, epoch=EPOCHS, outcome=st.sampled_from(RunOutcome), vm=st.sampled_from(["", "vm1", "vm2"]))
    def end(self, job, epoch, outcome, vm):
        """Reports the end of a run, possibly of another one."""
        self.submitter.apply(EndRun(job_id=job, epoch=epoch, outcome=outcome, vm=vm))

    @rule(job=JOBS)
    def cancel(self, job):
        """Cancels a job."""
        self.submitter.apply(CancelJob(job_id=job, team="red"))

    @rule()
    def restore(self):
        """Replaces the state by one restored from its snapshot."""
        state = ControlState()
        state.restore_snapshot(self.submitter.state.encode_snapshot())
        assert state.indexes.usage == self.submitter.state.indexes.usage
        self.submitter.replica.state = state

    @invariant()
    def limits_and_final_statuses_hold(self):
        """Guards against a team over its limit, a lost job, and a final status that changes."""
        jobs = self.submitter.state.tables.jobs
        running = [job for job in jobs.values() if job.status is JobStatus.RUNNING]
        assert len(running) <= 3
        assert all(job.run is not None and job.run.epoch == job.runs for job in running)
        assert set(jobs) == self.accepted
        for job in jobs.values():
            if job.status in FINAL_STATUSES:
                assert self.final.setdefault(job.job_id, job.status) is job.status
        assert all(jobs[name].status is status for name, status in self.final.items())


TestJobMachine = JobMachine.TestCase
TestJobMachine.settings = settings(derandomize=True, max_examples=60, stateful_step_count=40, deadline=None)
