"""Session of one worker."""

from __future__ import annotations

from dataclasses import dataclass, field

from .messages import SyncRequest


@dataclass(slots=True, kw_only=True)
class WorkerSession:
    """State that a home entry keeps about a worker.

    Attributes:
        vm: VM of the worker.
        report: Last request of the worker.
        handed: Stop, checkpoint and throttle orders of the last reply.
        synced_at: Local time of the last request.
        lease_until: Local time at which every lease granted to the worker has expired.
    """

    vm: str
    report: SyncRequest
    synced_at: float
    lease_until: float
    handed: tuple[list[str], ...] = field(default_factory=tuple)

    def overtakes(self, request: SyncRequest) -> bool:
        """Returns whether a request is not newer than the last one of the same worker process."""
        return self.report.boot_id == request.boot_id and 0 < request.number <= self.report.number


__all__ = ["WorkerSession"]
