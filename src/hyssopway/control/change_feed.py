"""What changed since a scheduler last looked."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .command import CancelJobs, SetZone
from .run_end import RunEnd

if TYPE_CHECKING:
    from .command import Command

# Beyond this many changes a rebuild is cheaper, and a daemon without a scheduler stays small.
MAX_RECORDED_CHANGES = 50_000


@dataclass(slots=True, kw_only=True)
class ChangeFeed:
    """Names of changed records; derived, so it is in no snapshot.

    Attributes:
        jobs: Ids of changed jobs, in order.
        vms: Names of changed VMs, in order.
        zones: Names of changed zones.
        ends: Runs that ended.
        everything: Whether all records count as changed.
    """

    jobs: dict[str, None] = field(default_factory=dict)
    vms: dict[str, None] = field(default_factory=dict)
    zones: dict[str, None] = field(default_factory=dict)
    ends: list[RunEnd] = field(default_factory=list)
    everything: bool = True

    def record_change(self, command: Command) -> None:
        """Notes what an applied command changed."""
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
        """Notes the end of a run."""
        if not self.everything:
            self.ends.append(end)

    def reset(self) -> None:
        """Counts all records as changed."""
        self.jobs = {}
        self.vms = {}
        self.zones = {}
        self.ends = []
        self.everything = True

    def drain(self) -> ChangeFeed:
        """Returns the changes and starts anew."""
        drained = ChangeFeed(
            jobs=self.jobs, vms=self.vms, zones=self.zones, ends=self.ends, everything=self.everything
        )
        self.reset()
        self.everything = False
        return drained


__all__ = ["MAX_RECORDED_CHANGES", "ChangeFeed"]
