"""Fixture: the scheduler of a leader on a local state."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from hyssopway.control.command import EndRun
from hyssopway.control.record import RunOutcome
from hyssopway.job import JobScheduler, UsageReports
from states import ManualClock, make_submitter

if TYPE_CHECKING:
    from hyssopway.control.record import Job


class Leader:
    """Scheduler whose commands are applied immediately."""

    def __init__(self) -> None:
        self.submitter = make_submitter()
        self.clock = ManualClock()
        self.usage_reports = UsageReports()
        self.scheduler = JobScheduler(
            now_ms=self.submitter.now_ms,
            replica=self.submitter.replica,
            submitter=self.submitter,  # type: ignore[arg-type]
            leads=lambda: True,
            usage_reports=self.usage_reports,
            clock=self.clock,
        )

    async def round(self, count: int = 1) -> None:
        """Runs scheduling rounds, 0.05 s apart."""
        for _ in range(count):
            await self.scheduler.schedule_once()
            self.clock.now += 0.05

    def end(self, job_id: str, outcome: RunOutcome = RunOutcome.DONE) -> None:
        """Ends the run of a job."""
        self.submitter.apply_or_fail(EndRun(job_id=job_id, epoch=self.jobs[job_id].runs, outcome=outcome))

    @property
    def jobs(self) -> dict[str, Job]:
        """All jobs."""
        return self.submitter.state.tables.jobs

    def running(self, team: str = "") -> list[str]:
        """Returns the running jobs of a team."""
        return [job.job_id for job in self.jobs.values() if job.run and team in ("", job.team)]

    def vm_of(self, job_id: str) -> str:
        """Returns the VM of a job's run; empty when it does not run."""
        run = self.jobs[job_id].run
        return run.vm if run else ""


@pytest.fixture
def leader() -> Leader:
    return Leader()
