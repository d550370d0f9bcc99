"""One run of a job."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class Run:
    """A run of a job on a VM.

    Attributes:
        epoch: Number of the run.
        vm: VM.
        started_ms: Wall-clock time in milliseconds, for display.
        reason: Why this VM.
        probe: Whether it tests a quarantined VM.
    """

    epoch: int
    vm: str
    started_ms: int
    reason: str
    probe: bool = False


__all__ = ["Run"]
