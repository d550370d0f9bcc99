"""What workers last reported of their tasks."""

from __future__ import annotations

from dataclasses import dataclass, field

from hyssopway.document import Resources


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskUsage:
    """Reported use of one task.

    Attributes:
        job_id: Job.
        epoch: Number of the run.
        usage: What it uses.
        ran_s: Seconds since its start.
    """

    job_id: str
    epoch: int
    usage: Resources
    ran_s: float


@dataclass(slots=True, kw_only=True)
class UsageReports:
    """Soft state of the leader; losing it costs only efficiency.

    Attributes:
        tasks: Tasks by VM.
    """

    tasks: dict[str, list[TaskUsage]] = field(default_factory=dict)

    def record(self, *, vm: str, tasks: list[TaskUsage]) -> None:
        """Replaces what is known of a VM."""
        self.tasks[vm] = tasks

    def find(self, *, vm: str, job_id: str, epoch: int) -> TaskUsage | None:
        """Returns the last report about a run."""
        return next(
            (task for task in self.tasks.get(vm, ()) if (task.job_id, task.epoch) == (job_id, epoch)), None
        )


__all__ = ["TaskUsage", "UsageReports"]
