"""One run of a job."""

from __future__ import annotations

from dataclasses import dataclass

from .reclaim_action import ReclaimAction


@dataclass(slots=True, kw_only=True)
class Run:
    """A run of a job on a VM.

    Attributes:
        epoch: Number of the run.
        vm: VM.
        started_ms: Agreed time of its start in milliseconds.
        reason: Why this VM.
        probe: Whether it tests a quarantined VM.
        boot_id: Worker process that it was placed on; no other process starts it.
        started_index: Log index of its start.
        home_epoch: Home epoch of the VM at its start.
        reclaim: What the worker is asked to do so that others get the capacity.
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
