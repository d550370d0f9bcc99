"""Reclaims the capacity of a VM from a run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from hyssopway.control.record.reclaim_action import ReclaimAction


@dataclass(frozen=True, slots=True, kw_only=True)
class ReclaimRun:
    """Asks the worker to checkpoint, throttle or stop a run.

    Attributes:
        job_id: ID of the job.
        epoch: Number of the run.
        action: Action that the worker takes.
        reason: Why, and for which jobs the capacity is reclaimed.
    """

    job_id: str
    epoch: int
    action: ReclaimAction
    reason: str
    kind: Literal["reclaim_run"] = "reclaim_run"


__all__ = ["ReclaimRun"]
