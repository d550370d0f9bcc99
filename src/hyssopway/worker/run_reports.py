"""Submission of ended runs to the replicated state."""

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

# A sync must not wait for a quorum: in a zone that is cut off, the lease would expire in the meantime.
REPORT_WAIT_S = 0.25

# Bounds the results kept for workers that died and never ask for them again.
MAX_KEPT_RESULTS = 5_000

# The run has already ended, by an earlier submission or because it was abandoned: a retry changes nothing.
FINAL_CODES = (ResultCode.STALE_EPOCH, ResultCode.UNKNOWN_JOB)

RunKey = tuple[str, int]


class RunReports:
    """Submits ends of runs in the background, at most one submission per run at a time.

    Attributes:
        submitter: Submits commands to the replicated state.
        tasks: Submissions in progress by VM, job and epoch.
        abandoned: Submissions of runs that this home abandoned; it never sends a start order for them again.
    """

    __slots__ = ("abandoned", "submitter", "tasks")

    def __init__(self, *, submitter: Submitter) -> None:
        self.submitter = submitter
        self.tasks: dict[tuple[str, str, int], asyncio.Task[bool]] = {}
        self.abandoned: dict[RunKey, asyncio.Task[bool]] = {}

    async def submit_and_wait(self, *, vm: str, ended: Iterable[EndedRun]) -> list[str]:
        """Submits the ended runs of a worker and returns the jobs whose end is recorded so far.

        Waits for `REPORT_WAIT_S` at most; submissions continue in the background.
        """
        if len(self.tasks) > MAX_KEPT_RESULTS:
            self.tasks = {key: task for key, task in self.tasks.items() if not task.done()}
        reports = {(vm, run.job_id, run.epoch): run for run in ended}
        for key, run in reports.items():
            if key not in self.tasks:
                self.tasks[key] = asyncio.create_task(self._submit(_build_end_command(run, vm=vm)))
        tasks = {key: self.tasks[key] for key in reports}
        if tasks:
            await asyncio.wait(tasks.values(), timeout=REPORT_WAIT_S)
        done = [key for key, task in tasks.items() if task.done()]
        recorded = [key[1] for key in done if tasks[key].result()]
        for key in done:
            self.tasks.pop(key, None)
        return recorded

    def abandon(self, *, job: Job, vm: Vm, outcome: RunOutcome, detail: str) -> None:
        """Ends a run that is not running on its worker, unless the worker registers with another home first."""
        if job.run is None:
            return
        key = (job.job_id, job.run.epoch)
        task = self.abandoned.get(key)
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
        self.abandoned[key] = asyncio.create_task(self._submit(command))

    def drop_recorded(self, *, live: Iterable[RunKey]) -> None:
        """Drops the submissions of abandoned runs that are complete and whose run is not in `live`."""
        kept = set(live)
        for key in [key for key, task in self.abandoned.items() if task.done() and key not in kept]:
            del self.abandoned[key]

    async def _submit(self, command: EndRun) -> bool:
        result = await self.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S)
        if result.is_ok():
            log_event(Event.JOB_ENDED, job=command.job_id, outcome=command.outcome)
        return result.is_ok() or result.error.code in FINAL_CODES


def _build_end_command(run: EndedRun, *, vm: str) -> EndRun:
    return EndRun(
        job_id=run.job_id,
        epoch=run.epoch,
        outcome=run.outcome,
        detail=run.detail,
        checkpoint=run.checkpoint,
        vm=vm,
    )


__all__ = ["RunKey", "RunReports"]
