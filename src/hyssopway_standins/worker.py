"""A worker: runs tasks on a VM under a lease."""

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

SYNC_S = 0.5
WAIT_S = 1.0

# A request that hangs is given up early enough to renew the lease through another entry.
TIMEOUT_S = 2.5

# Ends that follow one another closely are reported together.
GATHER_S = 0.02
_REPLY = TypeAdapter(SyncReply)


@dataclass(slots=True, kw_only=True)
class WorkerStandIn:
    """One worker and what it did.

    Attributes:
        vm: VM that it runs on.
        zone: Availability zone.
        rack: Rack.
        pool: Pool that the VM starts in.
        capacity: What the VM has.
        entries: Base URLs of the entry VMs of its zone.
        fleet_token: Secret for syncs.
        sync_s: Pause after a sync that failed or that the home may not hold.
        wait_s: How long the home may hold a sync.
        changed: Set when a task ended.
        time_scale: Factor on declared run times.
        choose_outcome: Decides how a run ends.
        endpoints: Endpoints on its VM.
        starts: Every start with its local time.
        ends: Every end of a task with its local time.
        tasks: Running tasks by job.
        ended: Ended runs that are not acknowledged.
    """

    vm: str
    zone: str
    rack: str
    pool: str
    capacity: Resources
    entries: Sequence[str]
    fleet_token: str
    time_scale: float = 1.0
    sync_s: float = SYNC_S
    wait_s: float = WAIT_S
    changed: asyncio.Event = field(default_factory=asyncio.Event)
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
        """Begins to sync."""
        self.loop_task = asyncio.create_task(self.sync_until_cancelled())

    def stop(self) -> None:
        """Stops at once, as a killed VM does."""
        if self.loop_task is not None:
            self.loop_task.cancel()
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        for job_id, task in self.tasks.items():
            task.timer.cancel()
            self.ends.append((time.monotonic(), job_id, task.order.epoch))
        self.tasks.clear()

    def restart(self) -> None:
        """Starts again as a new process that knows nothing of its former tasks."""
        self.boot_id = secrets.token_hex(4)
        self.ended.clear()
        self.number = self.seen_index = 0
        self.start()

    def isolate(self) -> None:
        """Stops to sync; tasks go on until the lease ends."""
        if self.loop_task is not None:
            self.loop_task.cancel()

    async def sync_until_cancelled(self) -> None:
        """Syncs with the first entry that answers; stops tasks when the lease ends."""
        position = 0
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                entry = self.entries[position % len(self.entries)]
                synced = await self._sync_unless_changed(session, entry)
                if synced is False:
                    position += 1
                if synced is None or (synced and self.wait_s):
                    await asyncio.sleep(GATHER_S)
                else:
                    await asyncio.sleep(self.sync_s)

    async def _sync_unless_changed(self, session: aiohttp.ClientSession, entry: str) -> bool | None:
        """Gives up a sync without ends that waits for orders when a task ends; returns None then."""
        if not self.wait_s or self.ended:
            return await self._sync(session, entry)
        self.changed.clear()
        attempt = asyncio.create_task(self._sync(session, entry))
        changed = asyncio.create_task(self.changed.wait())
        try:
            await asyncio.wait({attempt, changed}, return_when=asyncio.FIRST_COMPLETED)
            return attempt.result() if attempt.done() else None
        finally:
            attempt.cancel()
            changed.cancel()

    async def _sync(self, session: aiohttp.ClientSession, entry: str) -> bool:
        sent_at = time.monotonic()
        self.number += 1
        url = f"{entry}/v1/workers/{self.vm}/sync"
        headers = {"Authorization": f"Bearer {self.fleet_token}"}
        reported = dict(self.ended)
        try:
            async with session.post(url, data=to_json(self.make_report()), headers=headers) as answer:
                if answer.status != 200:
                    return False
                reply = _REPLY.validate_json(await answer.read())
        except (aiohttp.ClientError, TimeoutError):
            return False
        self.seen_index = max(self.seen_index, reply.state_index)
        self._renew(sent_at + reply.lease_s)
        for job_id in reply.acknowledged:
            if self.ended.get(job_id) is reported.get(job_id):
                self.ended.pop(job_id, None)
        for job_id in reply.stop:
            self._end(job_id, outcome=RunOutcome.STOPPED, detail="stopped on request")
        for job_id in reply.checkpoint:
            self._end(job_id, outcome=RunOutcome.CHECKPOINTED, detail="checkpointed on request")
        for endpoint in self.endpoints:
            endpoint.follow(leave=reply.leave)
        for order in reply.start:
            if time.monotonic() < sent_at + order.start_within_s:
                self._begin(order)
        return True

    def _renew(self, lease_expires_at: float) -> None:
        # A timer of its own ends the lease on time also while a sync waits for an answer.
        self.lease_expires_at = lease_expires_at
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        left_s = max(0.0, lease_expires_at - time.monotonic())
        self.lease_timer = asyncio.get_running_loop().call_later(left_s, self._stop_all, "lease ended")

    def make_report(self) -> SyncRequest:
        """Returns what the next sync reports."""
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
        if not all(endpoint.left for endpoint in self.endpoints):
            return None
        return sum(endpoint.in_progress for endpoint in self.endpoints)

    def _begin(self, order: StartOrder) -> None:
        if order.job_id in self.tasks or order.job_id in self.ended:
            return
        now = time.monotonic()
        self.starts.append((now, order.job_id, order.epoch))
        timer = asyncio.get_running_loop().call_later(
            order.run_s * self.time_scale, self._finish, order.job_id
        )
        self.tasks[order.job_id] = RunningStandInTask(order=order, started_at=now, timer=timer)

    def _finish(self, job_id: str) -> None:
        task = self.tasks.get(job_id)
        if task is not None:
            self._end(job_id, outcome=self.choose_outcome(task.order), detail="")

    def _end(self, job_id: str, *, outcome: RunOutcome, detail: str) -> None:
        task = self.tasks.pop(job_id, None)
        if task is None:
            return
        task.timer.cancel()
        self.ends.append((time.monotonic(), job_id, task.order.epoch))
        checkpoint = "checkpoint" if outcome is RunOutcome.CHECKPOINTED else ""
        self.ended[job_id] = EndedRun(
            job_id=job_id, epoch=task.order.epoch, outcome=outcome, detail=detail, checkpoint=checkpoint
        )
        self.changed.set()

    def _stop_all(self, reason: str) -> None:
        for job_id in list(self.tasks):
            self._end(job_id, outcome=RunOutcome.LOST, detail=reason)


@dataclass(slots=True, kw_only=True)
class RunningStandInTask:
    """A task that a stand-in runs.

    Attributes:
        order: The order that started it.
        started_at: Local time of its start.
        timer: Ends the task.
    """

    order: StartOrder
    started_at: float
    timer: Any


__all__ = ["WorkerStandIn"]
