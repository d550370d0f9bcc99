"""Reports of ended runs that are on their way to the agreed state."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hyssopway.control.command import EndRun
from hyssopway.event import Event, log_event
from hyssopway.result import ResultCode

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hyssopway.control.record import Job, RunOutcome, Vm
    from hyssopway.replica import Submitter

    from .messages import EndedRun

SUBMIT_TIMEOUT_S = 2.0

# A sync must not wait for a quorum: in a zone that is cut off the lease would end meanwhile.
WAIT_S = 0.25

# Results that a worker never asked for again, because it died, are dropped beyond this number.
MAX_TASKS = 5_000

# The report arrived before, or the run was given up: repeating it changes nothing.
SETTLED = (ResultCode.STALE_EPOCH, ResultCode.UNKNOWN_JOB)

RunKey = tuple[str, int]


class RunReports:
    """Submits ends of runs in the background, each once at a time.

    Attributes:
        submitter: Way to the agreed state.
        tasks: Reports in progress by VM, job and epoch.
        given_up: Runs that this home gave up; they are never ordered afterwards.
    """

    __slots__ = ("given_up", "submitter", "tasks")

    def __init__(self, *, submitter: Submitter) -> None:
        self.submitter = submitter
        self.tasks: dict[tuple[str, str, int], asyncio.Task[bool]] = {}
        self.given_up: dict[RunKey, asyncio.Task[bool]] = {}

    async def settle(self, *, vm: str, ended: Iterable[EndedRun]) -> list[str]:
        """Reports what a worker ended; returns the jobs whose end is recorded so far."""
        if len(self.tasks) > MAX_TASKS:
            self.tasks = {key: task for key, task in self.tasks.items() if not task.done()}
        reports = {(vm, run.job_id, run.epoch): run for run in ended}
        for key, run in reports.items():
            if key not in self.tasks:
                self.tasks[key] = asyncio.create_task(self._submit(_worker_report(run, vm=vm)))
        tasks = {key: self.tasks[key] for key in reports}
        if tasks:
            await asyncio.wait(tasks.values(), timeout=WAIT_S)
        done = [key for key, task in tasks.items() if task.done()]
        settled = [key[1] for key in done if tasks[key].result()]
        for key in done:
            self.tasks.pop(key, None)
        return settled

    def give_up(self, *, job: Job, vm: Vm, outcome: RunOutcome, detail: str) -> None:
        """Ends a run that the worker does not run, unless the worker moves to another home first."""
        if job.run is None:
            return
        key = (job.job_id, job.run.epoch)
        task = self.given_up.get(key)
        if task is not None and not task.done():
            return
        command = EndRun(
            job_id=job.job_id,
            epoch=job.run.epoch,
            outcome=outcome,
            detail=detail,
            vm=vm.name,
            home_epoch=vm.home_epoch,
        )
        self.given_up[key] = asyncio.create_task(self._submit(command))

    def forget(self, *, live: Iterable[RunKey]) -> None:
        """Drops given up runs whose end is recorded."""
        kept = set(live)
        for key in [key for key, task in self.given_up.items() if task.done() and key not in kept]:
            del self.given_up[key]

    async def _submit(self, command: EndRun) -> bool:
        result = await self.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S)
        if result.is_ok():
            log_event(Event.JOB_ENDED, job=command.job_id, outcome=command.outcome)
        return result.is_ok() or result.error.code in SETTLED


def _worker_report(run: EndedRun, *, vm: str) -> EndRun:
    return EndRun(
        job_id=run.job_id,
        epoch=run.epoch,
        outcome=run.outcome,
        detail=run.detail,
        checkpoint=run.checkpoint,
        vm=vm,
    )


__all__ = ["RunKey", "RunReports"]
