"""Starts a run of a job."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class StartRun:
    """Places a pending job on a VM.

    Attributes:
        job_id: The job.
        epoch: Number of the run; one more than the last.
        vm: VM that runs it.
        vm_epoch: Epoch of the VM that the scheduler saw.
        reason: Why this VM, for `hyssopway explain`.
        probe: Whether this run tests a quarantined VM.
    """

    job_id: str
    epoch: int
    vm: str
    vm_epoch: int
    reason: str
    probe: bool = False
    kind: Literal["start_run"] = "start_run"


__all__ = ["StartRun"]
