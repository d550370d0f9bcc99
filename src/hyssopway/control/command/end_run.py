"""Ends a run of a job."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from hyssopway.control.record.run_outcome import RunOutcome


@dataclass(frozen=True, slots=True, kw_only=True)
class EndRun:
    """Records how a run ended.

    Attributes:
        job_id: ID of the job.
        epoch: Number of the run.
        outcome: How the run ended.
        detail: Message of the worker, or reason given by the system.
        checkpoint: Checkpoint from which the next run continues.
        vm: VM that reports the end; empty if the leader ends the run.
        home_epoch: Home epoch of the VM that its home read when it declared the run lost; 0 for a report of
            the worker.
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
