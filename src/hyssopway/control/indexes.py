"""Values derived from the tables, kept for speed."""

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
    """What can be computed from the tables alone.

    Attributes:
        parsed: Parsed document in force by environment.
        pending: Pending jobs by id, in order of acceptance.
        running: Ids of running jobs by VM.
        usage: What the running tasks of each team hold.
        shapes: Capacities of the VMs of each pool.
        touched: VMs whose worker may get other orders by the last command.
        feed: Changes that the scheduler has not seen.
    """

    parsed: dict[str, EnvironmentDocument] = field(default_factory=dict)
    pending: dict[str, Job] = field(default_factory=dict)
    running: dict[str, set[str]] = field(default_factory=dict)
    usage: dict[str, TeamUsage] = field(default_factory=dict)
    shapes: PoolShapes = field(default_factory=PoolShapes)
    affected_vms: list[str] = field(default_factory=list)
    feed: ChangeFeed = field(default_factory=ChangeFeed)

    def update(self, command: Command, *, tables: Tables) -> None:
        """Follows an applied command."""
        self.feed.record_change(command)
        self.affected_vms = _find_affected_vms(command, tables=tables)
        if isinstance(command, RegisterVm | MoveVm):
            self.shapes.update(tables.vms[command.vm])

    def add_run(self, *, job: Job, vm: str) -> None:
        """Counts a run that starts."""
        self.pending.pop(job.job_id, None)
        self.running.setdefault(vm, set()).add(job.job_id)
        self.usage.setdefault(job.team, TeamUsage()).add(job.spec.resources)

    def remove_run(self, *, job: Job, vm: str) -> None:
        """Stops counting a run that ended."""
        self.running.get(vm, set()).discard(job.job_id)
        self.usage.setdefault(job.team, TeamUsage()).remove(job.spec.resources)

    def rebuild_jobs(self, tables: Tables) -> None:
        """Computes all job indexes from the tables."""
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
