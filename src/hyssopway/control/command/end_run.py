"""Ends a run of a job."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from hyssopway.control.record.run_outcome import RunOutcome


@dataclass(frozen=True, slots=True, kw_only=True)
class EndRun:
    """Records how a run ended.

    Attributes:
        job_id: The job.
        epoch: Number of the run.
        outcome: How it ended.
        detail: Message of the worker or reason of the system.
        checkpoint: Where the next run continues.
        vm: VM that reports; empty when the leader decides.
        home_epoch: Home epoch of the VM that a home saw when it gave the run up; 0 for a worker's report.
    """

    job_id: str
    epoch: int
    outcome: RunOutcome
    detail: str = ""
    checkpoint: str = ""
    vm: str = ""
    home_epoch: int = 0
    kind: Literal["end_run"] = "end_run"


__all__ = ["EndRun"]
