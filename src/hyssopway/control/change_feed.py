"""Records which records changed since the scheduler last read them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .command import CancelJobs, SetZone
from .run_end import RunEnd

if TYPE_CHECKING:
    from .command import Command

# With more changes a full rebuild is cheaper. The limit also bounds memory on a daemon that runs no scheduler.
MAX_RECORDED_CHANGES = 50_000


@dataclass(slots=True, kw_only=True)
class ChangeFeed:
    """IDs of changed records; not part of snapshots.

    Attributes:
        jobs: IDs of changed jobs, in order of the change.
        vms: Names of changed VMs, in order of the change.
        zones: Names of changed zones.
        ends: Runs that ended.
        everything: Whether all records count as changed; the other fields are empty then.
    """

    jobs: dict[str, None] = field(default_factory=dict)
    vms: dict[str, None] = field(default_factory=dict)
    zones: dict[str, None] = field(default_factory=dict)
    ends: list[RunEnd] = field(default_factory=list)
    everything: bool = True

    def record_change(self, command: Command) -> None:
        """Records which jobs, VMs or zones an applied command changed."""
        if self.everything:
            return
        match command:
            case SetZone():
                self.zones[command.zone] = None
            case CancelJobs():
                self.jobs.update(dict.fromkeys(command.job_ids))
            case _:
                if job_id := getattr(command, "job_id", ""):
                    self.jobs[job_id] = None
                elif vm := getattr(command, "vm", ""):
                    self.vms[vm] = None
        if len(self.jobs) + len(self.vms) + len(self.ends) > MAX_RECORDED_CHANGES:
            self.reset()

    def record_run_end(self, end: RunEnd) -> None:
        """Records the end of a run."""
        if not self.everything:
            self.ends.append(end)

    def reset(self) -> None:
        """Marks all records as changed."""
        self.jobs = {}
        self.vms = {}
        self.zones = {}
        self.ends = []
        self.everything = True

    def drain(self) -> ChangeFeed:
        """Returns the recorded changes and clears them."""
        drained = ChangeFeed(
            jobs=self.jobs, vms=self.vms, zones=self.zones, ends=self.ends, everything=self.everything
        )
        self.reset()
        self.everything = False
        return drained


__all__ = ["MAX_RECORDED_CHANGES", "ChangeFeed"]
