"""Last usage that workers reported for their tasks."""

from __future__ import annotations

from dataclasses import dataclass, field

from hyssopway.document import Resources


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskUsage:
    """Reported usage of one task.

    Attributes:
        job_id: ID of the job.
        epoch: Number of the run.
        usage: Resources in use.
        ran_s: Seconds since the task started.
    """

    job_id: str
    epoch: int
    usage: Resources
    ran_s: float


@dataclass(slots=True, kw_only=True)
class UsageReports:
    """Last reports of all workers; kept in memory only, since losing them costs only efficiency.

    Attributes:
        tasks: Usage of the tasks of each VM.
    """

    tasks: dict[str, list[TaskUsage]] = field(default_factory=dict)

    def record(self, *, vm: str, tasks: list[TaskUsage]) -> None:
        """Replaces the reported usage of a VM's tasks."""
        self.tasks[vm] = tasks

    def find(self, *, vm: str, job_id: str, epoch: int) -> TaskUsage | None:
        """Returns the last report about a run."""
        return next(
            (task for task in self.tasks.get(vm, ()) if (task.job_id, task.epoch) == (job_id, epoch)), None
        )


__all__ = ["TaskUsage", "UsageReports"]
