"""One run of a job."""

from __future__ import annotations

from dataclasses import dataclass

from .reclaim_action import ReclaimAction


@dataclass(slots=True, kw_only=True)
class Run:
    """A run of a job on a VM.

    Attributes:
        epoch: Number of the run within the job.
        vm: Name of the VM.
        started_ms: Cluster time of the start in milliseconds.
        reason: Why this VM was chosen.
        probe: Whether the run is a test of a quarantined VM.
        boot_id: ID of the worker process that the run was placed on; no other process starts it.
        started_index: Log index of the start.
        home_epoch: Home epoch of the VM at the start.
        reclaim: Action that the worker is told to take to free capacity for other jobs.
    """

    epoch: int
    vm: str
    started_ms: int
    reason: str
    probe: bool = False
    boot_id: str = ""
    started_index: int = 0
    home_epoch: int = 0
    reclaim: ReclaimAction = ReclaimAction.NONE


__all__ = ["Run"]
