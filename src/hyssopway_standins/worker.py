"""Stand-in for a worker: simulates tasks on a VM under a lease."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from pydantic import TypeAdapter
from pydantic_core import to_json

from hyssopway.control.record import RunOutcome
from hyssopway.document import Resources
from hyssopway.worker import EndedRun, RunningTask, StartOrder, SyncReply, SyncRequest

from .endpoint import EndpointStandIn

SYNC_INTERVAL_S = 0.5
LONG_POLL_S = 1.0

# Aborts a hanging request early enough to renew the lease through another entry VM.
REQUEST_TIMEOUT_S = 2.5

# Runs that end within this time are reported in one sync.
BATCH_DELAY_S = 0.02
_REPLY = TypeAdapter(SyncReply)


@dataclass(slots=True, kw_only=True)
class WorkerStandIn:
    """One worker, with a record of the runs that it started and ended.

    Attributes:
        vm: VM that it runs on.
        zone: Availability zone.
        rack: Rack.
        pool: Pool that the VM starts in.
        capacity: Resources of the VM.
        entries: Base URLs of the entry VMs of its zone.
        fleet_token: Secret that authenticates syncs.
        sync_s: Pause after a failed sync, and after each sync when `wait_s` is 0.
        wait_s: Time for which the home may hold back its reply (long poll); 0 disables it.
        run_ended: Set when a run ends, to interrupt a sync that waits.
        time_scale: Factor by which declared run times are multiplied.
        choose_outcome: Returns the outcome of a run.
        endpoints: Endpoints on its VM.
        starts: Local time, job and epoch of every start.
        ends: Local time, job and epoch of every end.
        tasks: Running tasks by job.
        ended: Ended runs that the home has not acknowledged yet, by job.
    """

    vm: str
    zone: str
    rack: str
    pool: str
    capacity: Resources
    entries: Sequence[str]
    fleet_token: str
    time_scale: float = 1.0
    sync_s: float = SYNC_INTERVAL_S
    wait_s: float = LONG_POLL_S
    run_ended: asyncio.Event = field(default_factory=asyncio.Event)
    choose_outcome: Callable[[StartOrder], RunOutcome] = lambda _: RunOutcome.DONE
    endpoints: list[EndpointStandIn] = field(default_factory=list)
    starts: list[tuple[float, str, int]] = field(default_factory=list)
    ends: list[tuple[float, str, int]] = field(default_factory=list)
    tasks: dict[str, RunningStandInTask] = field(default_factory=dict)
    ended: dict[str, EndedRun] = field(default_factory=dict)
    lease_expires_at: float = 0.0
    boot_id: str = field(default_factory=lambda: secrets.token_hex(4))
    loop_task: asyncio.Task[None] | None = None
    number: int = 0
    seen_index: int = 0
    lease_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Starts the sync loop."""
        self.loop_task = asyncio.create_task(self.sync_until_cancelled())

    def stop(self) -> None:
        """Stops immediately without reporting anything, like a killed VM."""
        if self.loop_task is not None:
            self.loop_task.cancel()
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        for job_id, task in self.tasks.items():
            task.timer.cancel()
            self.ends.append((time.monotonic(), job_id, task.order.epoch))
        self.tasks.clear()

    def restart(self) -> None:
        """Starts again with a new boot ID and without knowledge of earlier runs, like a new process."""
        self.boot_id = secrets.token_hex(4)
        self.ended.clear()
        self.number = self.seen_index = 0
        self.start()

    def isolate(self) -> None:
        """Stops syncing; tasks continue until the lease expires."""
        if self.loop_task is not None:
            self.loop_task.cancel()

    async def sync_until_cancelled(self) -> None:
        """Syncs with one entry VM and moves to the next one when a sync fails."""
        position = 0
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                entry = self.entries[position % len(self.entries)]
                synced = await self._sync_until_run_ends(session, entry)
                if synced is False:
                    position += 1
                if synced is None or (synced and self.wait_s):
                    await asyncio.sleep(BATCH_DELAY_S)
                else:
                    await asyncio.sleep(self.sync_s)

    async def _sync_until_run_ends(self, session: aiohttp.ClientSession, entry: str) -> bool | None:
        """Syncs, but aborts a long poll as soon as a run ends, so that the end is reported at once.

        Returns whether the sync succeeded, or None when it was aborted.
        """
        if not self.wait_s or self.ended:
            return await self._sync(session, entry)
        self.run_ended.clear()
        attempt = asyncio.create_task(self._sync(session, entry))
        run_ended = asyncio.create_task(self.run_ended.wait())
        try:
            await asyncio.wait({attempt, run_ended}, return_when=asyncio.FIRST_COMPLETED)
            return attempt.result() if attempt.done() else None
        finally:
            attempt.cancel()
            run_ended.cancel()

    async def _sync(self, session: aiohttp.ClientSession, entry: str) -> bool:
        sent_at = time.monotonic()
        self.number += 1
        url = f"{entry}/v1/workers/{self.vm}/sync"
        headers = {"Authorization": f"Bearer {self.fleet_token}"}
        reported = dict(self.ended)
        try:
            async with session.post(url, data=to_json(self.build_sync_request()), headers=headers) as answer:
                if answer.status != 200:
                    return False
                reply = _REPLY.validate_json(await answer.read())
        except (aiohttp.ClientError, TimeoutError):
            return False
        self.seen_index = max(self.seen_index, reply.state_index)
        self._renew_lease(sent_at + reply.lease_s)
        for job_id in reply.acknowledged:
            if self.ended.get(job_id) is reported.get(job_id):
                self.ended.pop(job_id, None)
        for job_id in reply.stop:
            self._end_run(job_id, outcome=RunOutcome.STOPPED, detail="stopped on request")
        for job_id in reply.checkpoint:
            self._end_run(job_id, outcome=RunOutcome.CHECKPOINTED, detail="checkpointed on request")
        for endpoint in self.endpoints:
            endpoint.set_leaving(leave=reply.leave)
        for order in reply.start:
            if time.monotonic() < sent_at + order.start_within_s:
                self._start_run(order)
        return True

    def _renew_lease(self, lease_expires_at: float) -> None:
        # A separate timer stops the tasks on time even while a sync waits for its reply.
        self.lease_expires_at = lease_expires_at
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        left_s = max(0.0, lease_expires_at - time.monotonic())
        self.lease_timer = asyncio.get_running_loop().call_later(left_s, self._stop_all, "lease ended")

    def build_sync_request(self) -> SyncRequest:
        """Returns the request of the next sync."""
        now = time.monotonic()
        return SyncRequest(
            zone=self.zone,
            rack=self.rack,
            pool=self.pool,
            capacity=self.capacity,
            boot_id=self.boot_id,
            running=[
                RunningTask(
                    job_id=job_id,
                    epoch=task.order.epoch,
                    usage=task.order.resources,
                    ran_s=now - task.started_at,
                )
                for job_id, task in self.tasks.items()
            ],
            ended=list(self.ended.values()),
            number=self.number,
            seen_index=self.seen_index,
            wait_s=self.wait_s,
            requests=self._count_requests(),
        )

    def _count_requests(self) -> int | None:
        if not all(endpoint.has_left for endpoint in self.endpoints):
            return None
        return sum(endpoint.in_progress for endpoint in self.endpoints)

    def _start_run(self, order: StartOrder) -> None:
        if order.job_id in self.tasks or order.job_id in self.ended:
            return
        now = time.monotonic()
        self.starts.append((now, order.job_id, order.epoch))
        timer = asyncio.get_running_loop().call_later(
            order.run_s * self.time_scale, self._finish_run, order.job_id
        )
        self.tasks[order.job_id] = RunningStandInTask(order=order, started_at=now, timer=timer)

    def _finish_run(self, job_id: str) -> None:
        task = self.tasks.get(job_id)
        if task is not None:
            self._end_run(job_id, outcome=self.choose_outcome(task.order), detail="")

    def _end_run(self, job_id: str, *, outcome: RunOutcome, detail: str) -> None:
        task = self.tasks.pop(job_id, None)
        if task is None:
            return
        task.timer.cancel()
        self.ends.append((time.monotonic(), job_id, task.order.epoch))
        checkpoint = "checkpoint" if outcome is RunOutcome.CHECKPOINTED else ""
        self.ended[job_id] = EndedRun(
            job_id=job_id, epoch=task.order.epoch, outcome=outcome, detail=detail, checkpoint=checkpoint
        )
        self.run_ended.set()

    def _stop_all(self, reason: str) -> None:
        for job_id in list(self.tasks):
            self._end_run(job_id, outcome=RunOutcome.LOST, detail=reason)


@dataclass(slots=True, kw_only=True)
class RunningStandInTask:
    """A task that the stand-in simulates.

    Attributes:
        order: Start order of the task.
        started_at: Local time of the start.
        timer: Timer that ends the task after its run time.
    """

    order: StartOrder
    started_at: float
    timer: Any


__all__ = ["WorkerStandIn"]
