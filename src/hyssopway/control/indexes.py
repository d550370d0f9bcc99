"""Indexes derived from the tables, updated with each command to avoid searches."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hyssopway.document import EnvironmentDocument

from .change_feed import ChangeFeed
from .command import CancelJobs, MoveVm, RegisterVm
from .pool_shapes import PoolShapes
from .record import Job, JobStatus
from .team_usage import TeamUsage

if TYPE_CHECKING:
    from .command import Command
    from .tables import Tables


@dataclass(slots=True, kw_only=True)
class Indexes:
    """Indexes that are derived from the tables and in no snapshot.

    Attributes:
        parsed: Parsed active document by environment.
        pending: Pending jobs by ID, in order of acceptance or requeueing.
        running: IDs of running jobs by VM.
        usage: Resources in use by the running tasks of each team.
        shapes: Capacities of the VMs of each pool.
        touched: VMs whose worker may get different instructions after the last command.
        feed: Changes that the scheduler has not read.
    """

    parsed: dict[str, EnvironmentDocument] = field(default_factory=dict)
    pending: dict[str, Job] = field(default_factory=dict)
    running: dict[str, set[str]] = field(default_factory=dict)
    usage: dict[str, TeamUsage] = field(default_factory=dict)
    shapes: PoolShapes = field(default_factory=PoolShapes)
    touched: list[str] = field(default_factory=list)
    feed: ChangeFeed = field(default_factory=ChangeFeed)

    def update_after(self, command: Command, *, tables: Tables) -> None:
        """Updates the indexes after a command was applied."""
        self.feed.record_change(command)
        self.touched = _find_affected_vms(command, tables=tables)
        if isinstance(command, RegisterVm | MoveVm):
            self.shapes.update(tables.vms[command.vm])

    def add_run(self, *, job: Job, vm: str) -> None:
        """Adds a run that starts."""
        self.pending.pop(job.job_id, None)
        self.running.setdefault(vm, set()).add(job.job_id)
        self.usage.setdefault(job.team, TeamUsage()).add(job.spec.resources)

    def remove_run(self, *, job: Job, vm: str) -> None:
        """Removes a run that ended."""
        self.running.get(vm, set()).discard(job.job_id)
        usage = self.usage.setdefault(job.team, TeamUsage())
        usage.remove(job.spec.resources)
        if not usage.tasks:
            # As on a replica that restores a snapshot: replicas must not differ by the usage of teams without runs.
            del self.usage[job.team]

    def rebuild_jobs(self, tables: Tables) -> None:
        """Rebuilds all job indexes from the tables."""
        self.pending.clear()
        self.running.clear()
        self.usage.clear()
        for job in sorted(tables.jobs.values(), key=lambda job: job.accepted_index):
            if job.status is JobStatus.PENDING:
                self.pending[job.job_id] = job
            elif job.status is JobStatus.RUNNING and job.run is not None:
                self.add_run(job=job, vm=job.run.vm)


def _find_affected_vms(command: Command, *, tables: Tables) -> list[str]:
    ids = command.job_ids if isinstance(command, CancelJobs) else [getattr(command, "job_id", "")]
    jobs = [tables.jobs[job_id] for job_id in ids if job_id in tables.jobs]
    vms = [job.run.vm for job in jobs if job.run is not None]
    return [*vms, vm] if (vm := getattr(command, "vm", "")) else vms


__all__ = ["Indexes"]
