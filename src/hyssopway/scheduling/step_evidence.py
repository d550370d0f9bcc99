"""What happened to the tasks of a step."""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import median

# Runs of other tasks of the step that a duration is compared with.
MIN_SIBLINGS = 2


@dataclass(slots=True, kw_only=True)
class StepEvidence:
    """What happened to the tasks of a step, which are identical.

    Attributes:
        durations: Seconds that runs of the step took on each VM, of runs that completed.
        failed_on: VMs on which each task failed.
    """

    durations: dict[str, list[float]] = field(default_factory=dict)
    failed_on: dict[int, set[str]] = field(default_factory=dict)

    def succeeded_elsewhere(self, vm: str) -> bool:
        """Returns whether a task of the step completed on another VM."""
        return any(other != vm for other in self.durations)

    def compare(self, duration_s: float, *, vm: str) -> float | None:
        """Returns the ratio of a duration to that of other tasks on other VMs, or None if there are too few."""
        others = [value for other, values in self.durations.items() if other != vm for value in values]
        if len(others) < MIN_SIBLINGS:
            return None
        return duration_s / max(0.001, median(others))


__all__ = ["StepEvidence"]
