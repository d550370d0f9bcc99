"""Starts a run of a job."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class StartRun:
    """Places a pending job on a VM.

    Attributes:
        job_id: ID of the job.
        epoch: Number of the run; one more than that of the last run.
        vm: VM to run it on.
        vm_epoch: Epoch of the VM that the scheduler saw.
        reason: Why this VM was chosen, for `hyssopway explain`.
        probe: Whether this run is a test of a quarantined VM.
    """

    job_id: str
    epoch: int
    vm: str
    vm_epoch: int
    reason: str
    probe: bool = False
    kind: Literal["start_run"] = "start_run"


__all__ = ["StartRun"]
