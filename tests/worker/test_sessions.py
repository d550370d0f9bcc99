"""Tests of orders, leases and reports in the sessions of workers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from hyssopway.control.command import CancelJob, ChangeVm, EndRun, ReclaimRun, SetZone, TakePermit
from hyssopway.control.record import (
    JobStatus,
    PermitPurpose,
    ReclaimAction,
    RunOutcome,
    VmState,
    ZoneStatus,
)
from hyssopway.replica import Replica
from hyssopway.result import ResultCode
from hyssopway.worker import (
    EndedRun,
    RunningTask,
    SyncReply,
    SyncRequest,
    WorkerSessions,
    report_expired_leases,
)
from states import CAPACITY, LocalSubmitter, ManualClock, make_freshness, make_submitter

if TYPE_CHECKING:
    from hyssopway.control.record import Job


class Home:
    """Home entry with one registered VM and one run placed on it."""

    def __init__(self) -> None:
        self.submitter = make_submitter()
        self.clock = ManualClock()
        self.freshness = make_freshness(self.clock)
        self.sessions = WorkerSessions(
            own_name="h1",
            replica=self.submitter.replica,
            freshness=self.freshness,
            submitter=self.submitter,  # type: ignore[arg-type]
            clock=self.clock,
        )
        self.submitter.register("vm")
        self.submitter.accept("job")
        assert self.submitter.start("job", "vm").failure is None

    async def sync(self, **report: Any) -> Any:
        """Syncs the worker."""
        options = {"zone": "a", "rack": "a-1", "pool": "p", "capacity": CAPACITY, "boot_id": "b1"} | report
        return await self.sessions.sync(vm="vm", request=SyncRequest(**options))

    async def reply(self, **report: Any) -> SyncReply:
        """Syncs the worker and lets background submissions finish."""
        result = await self.sync(**report)
        assert result.is_ok(), result
        await asyncio.sleep(0.01)
        return result.ok

    @property
    def job(self) -> Job:
        """The job."""
        return self.submitter.state.tables.jobs["job"]

    @property
    def vm_state(self) -> VmState:
        """State of the VM."""
        return self.submitter.state.tables.vms["vm"].state


@pytest.fixture
def home() -> Home:
    return Home()


def _withdraw(home: Home) -> None:
    home.submitter.apply_or_fail(SetZone(zone="a", status=ZoneStatus.WITHDRAWN, request_id="z", operator="o"))


def _cancel(home: Home) -> None:
    home.submitter.apply_or_fail(CancelJob(job_id="job", team="red"))


def _drain(home: Home) -> None:
    home.submitter.apply_or_fail(
        TakePermit(vm="vm", purpose=PermitPurpose.OPERATOR, holder="o", expected_epoch=1)
    )


def _expire(home: Home) -> None:
    home.clock.now += 4


@pytest.mark.parametrize(
    ("change", "boot_id", "status", "detail"),
    [
        (_withdraw, "b1", JobStatus.PENDING, "withdrawn"),
        (_cancel, "b1", JobStatus.CANCELLED, "cancelled"),
        (lambda _: None, "b2", JobStatus.PENDING, "restarted"),
        (_drain, "b1", JobStatus.PENDING, "draining"),
        (_expire, "b1", JobStatus.RUNNING, ""),
    ],
    ids=["zone withdrawn", "cancelled", "worker restarted", "draining", "authority expired"],
)
async def test_run_that_may_not_start_is_not_ordered(home, change, boot_id, status, detail):
    """Guards against starting an outdated run, and against a run that counts against its limit forever."""
    change(home)
    assert (await home.reply(boot_id=boot_id)).start == []
    assert home.job.status is status
    assert detail in home.job.detail


async def test_endpoints_leave_while_their_vm_drains(home):
    """Guards against a drain that waits for an entry which may still send requests to the VM's endpoints."""
    assert not (await home.reply()).leave
    _drain(home)
    assert (await home.reply()).leave


async def test_run_not_started_in_time_is_abandoned(home):
    """Guards against a task that starts on an outdated placement."""
    assert [order.job_id for order in (await home.reply()).start] == ["job"]
    home.clock.now += 11
    home.freshness.confirm(at=home.clock.now)
    assert (await home.reply()).start == []
    assert home.job.status is JobStatus.PENDING


async def test_home_with_older_state_than_the_worker_sends_no_orders(home):
    """Guards against a second run started by a new home that has not applied the end of the first."""
    stale = Replica()
    home.sessions.replica = stale
    result = await home.sync(seen_index=home.submitter.replica.applied_index)
    assert result.error.code is ResultCode.REPLICA_BEHIND


async def test_overtaken_sync_changes_nothing(home):
    """Guards against an old report that ends a run which a later reply started."""
    await home.reply(number=2)
    _withdraw(home)
    assert (await home.sync(number=1)).error.code is ResultCode.SYNC_OVERTAKEN
    assert home.job.status is JobStatus.RUNNING


async def test_suspended_home_cannot_abandon_a_run_of_the_next_home(home):
    """Guards against two live runs of a job after its worker moved to another home."""
    await home.reply()
    home.clock.now += 30
    vm = home.submitter.state.tables.vms["vm"]
    home.sessions.reports.abandon(job=home.job, vm=vm, outcome=RunOutcome.LOST, detail="silent")
    home.submitter.register("vm", home="h2")
    await asyncio.sleep(0.01)
    assert home.job.status is JobStatus.RUNNING


async def test_report_of_another_run_changes_nothing(home):
    """Guards against the report of another run that ends the current one."""
    ended = EndedRun(job_id="job", epoch=2, outcome=RunOutcome.DONE)
    assert (await home.reply(ended=[ended])).acknowledged == ["job"]
    assert home.job.status is JobStatus.RUNNING


async def test_report_is_acknowledged_only_when_committed_and_does_not_delay_the_lease(home):
    """Guards against lost reports, and against a lease that expires in a cut-off zone because a report waits."""
    home.submitter.is_partitioned = True
    ended = EndedRun(job_id="job", epoch=1, outcome=RunOutcome.DONE)
    reply = await asyncio.wait_for(home.reply(ended=[ended]), 1.0)
    assert reply.acknowledged == []
    assert reply.lease_s > 0
    home.submitter.is_partitioned = False
    await asyncio.sleep(2.1)
    assert (await home.reply(ended=[ended])).acknowledged == ["job"]
    assert home.job.status is JobStatus.DONE


async def test_silent_worker_is_reported_after_its_last_lease_and_comes_back(home):
    """Guards against a run declared lost while its worker may still hold a lease."""
    running = [RunningTask(job_id="job", epoch=1)]
    await home.reply(running=running)
    for after_s, status, state in (
        (4.9, JobStatus.RUNNING, VmState.READY),
        (0.2, JobStatus.PENDING, VmState.DOWN),
    ):
        home.clock.now += after_s
        await report_expired_leases(home.sessions)
        await asyncio.sleep(0.01)
        assert (home.job.status, home.vm_state) == (status, state)
    home.freshness.confirm(at=home.clock.now)
    assert (await home.reply(running=running)).stop == ["job"]
    assert home.vm_state is VmState.READY


async def test_down_vm_under_permit_does_not_take_work_again(home):
    """Guards against work on a VM that an operator keeps out of service."""
    home.submitter.apply_or_fail(
        TakePermit(vm="vm", purpose=PermitPurpose.OPERATOR, holder="o", expected_epoch=1)
    )
    await home.reply()
    home.clock.now += 6
    await report_expired_leases(home.sessions)
    await asyncio.sleep(0.01)
    home.freshness.confirm(at=home.clock.now)
    await home.reply()
    assert home.vm_state is VmState.DRAINED


async def test_abandoned_run_is_not_started_after_the_zone_returns(home):
    """Guards against a start order for a run whose end is already being submitted to the leader."""
    await home.reply()
    home.submitter.is_partitioned = True
    _withdraw(home)
    assert (await home.reply()).start == []
    home.submitter.apply_or_fail(SetZone(zone="a", status=ZoneStatus.OPEN, request_id="y", operator="o"))
    assert (await home.reply()).start == []


def test_start_needs_the_pool_of_the_job():
    """Guards against a task on a VM of another pool."""
    submitter: LocalSubmitter = make_submitter()
    submitter.register("other", pool="q")
    submitter.accept("job")
    outcome = submitter.start("job", "other")
    assert outcome.failure is not None
    assert outcome.failure.code is ResultCode.VM_STATE_CONFLICT
    assert (
        submitter.apply(ChangeVm(vm="other", state=VmState.DOWN, expected_epoch=1, reason="")).failure is None
    )


async def test_run_is_started_only_after_the_leader_confirmed_it(home):
    """Guards against starting a run that the leader may revoke if this home becomes silent."""
    home.freshness.covered_index = home.job.run.started_index - 1
    assert (await home.reply()).start == []
    waiting = asyncio.create_task(home.reply())
    await asyncio.wait_for(home.freshness.asked.wait(), 5)
    home.freshness.cover(index=home.job.run.started_index)
    assert [order.job_id for order in (await waiting).start] == ["job"]


WAIT_S = 60.0
RUNNING = RunningTask(job_id="job", epoch=1)


@pytest.mark.parametrize(
    ("case", "running", "order"),
    [
        ("start", [], "start"),
        ("cancel", [RUNNING], "stop"),
        ("checkpoint", [RUNNING], "checkpoint"),
        ("throttle", [RUNNING], "throttle"),
        ("time limit", [RUNNING], ""),
        ("later sync", [RUNNING], "overtaken"),
        ("other home", [RUNNING], "overtaken"),
    ],
)
async def test_sync_waits_until_there_is_an_order(home, monkeypatch, case, running, order):
    """Guards against orders that are delayed until the next sync, and against a reply to an overtaken request."""
    monkeypatch.setattr("hyssopway.worker.sessions.MAX_WAIT_S", 0.05 if case == "time limit" else WAIT_S)
    if case == "start":
        home.submitter.apply_or_fail(EndRun(job_id="job", epoch=1, outcome=RunOutcome.STOPPED))
    waiting = asyncio.create_task(home.sync(running=running, wait_s=WAIT_S, number=1))
    async with asyncio.timeout(5):
        while "vm" not in home.submitter.replica.vm_wakers:  # noqa: ASYNC110  bounded by the timeout
            await asyncio.sleep(0)
    assert not waiting.done()
    match case:
        case "start":
            home.submitter.start("job", "vm", epoch=2)
        case "cancel":
            home.submitter.apply_or_fail(CancelJob(job_id="job", team="red"))
        case "checkpoint" | "throttle":
            action = ReclaimAction.CHECKPOINT if case == "checkpoint" else ReclaimAction.THROTTLE
            home.submitter.apply_or_fail(ReclaimRun(job_id="job", epoch=1, action=action, reason="share"))
        case "time limit":
            home.clock.now += WAIT_S
        case "later sync":
            await home.reply(running=running, number=2)
        case "other home":
            home.submitter.register("vm", home="h2")
    result = await asyncio.wait_for(waiting, 5)
    if order == "overtaken":
        assert result.error.code is ResultCode.SYNC_OVERTAKEN
    else:
        named = {name: getattr(result.ok, name) for name in ("start", "stop", "checkpoint", "throttle")}
        assert [name for name, jobs in named.items() if jobs] == ([order] if order else [])


async def test_repeated_stop_order_does_not_end_every_wait(home):
    """Guards against a busy loop of syncs while a stopped task has not ended yet."""
    home.submitter.apply_or_fail(CancelJob(job_id="job", team="red"))
    assert (await home.reply(running=[RUNNING], wait_s=WAIT_S, number=1)).stop == ["job"]
    waiting = asyncio.create_task(home.sync(running=[RUNNING], wait_s=0.1, number=2))
    await asyncio.sleep(0.02)
    assert not waiting.done()
    home.clock.now += 1
    assert (await waiting).ok.stop == ["job"]
