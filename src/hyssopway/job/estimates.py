"""Estimates of what a kind of task really uses."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hyssopway.document import Resources

if TYPE_CHECKING:
    from hyssopway.control.record import JobSpec

# The last ten runs or so decide; one odd run moves the estimate by a fifth.
WEIGHT = 0.2
MIN_SAMPLES = 3

# Submitters choose the names of kinds; they may not fill the leader.
MAX_KINDS = 10_000

# A wrong report may not make a task look free: four tasks share the room of one at most.
LEAST_PART = 0.25


@dataclass(slots=True, kw_only=True)
class KindEstimate:
    """Running means of one team's kind of task.

    Attributes:
        cores: Cores used.
        memory_gb: Memory used.
        run_s: Run time of runs that were done.
        samples: Runs seen.
    """

    cores: float
    memory_gb: float
    run_s: float
    samples: int = 1


@dataclass(slots=True, kw_only=True)
class Estimates:
    """Soft state of the leader.

    Attributes:
        kinds: Estimates by team and kind of task.
    """

    kinds: dict[tuple[str, str], KindEstimate] = field(default_factory=dict)

    def observe(self, *, team: str, task_kind: str, usage: Resources, ran_s: float) -> None:
        """Learns from the last report of a run that was done."""
        kind = self.kinds.get((team, task_kind))
        if kind is None:
            self.kinds[team, task_kind] = KindEstimate(
                cores=usage.cores, memory_gb=usage.memory_gb, run_s=ran_s
            )
            if len(self.kinds) > MAX_KINDS:
                del self.kinds[next(iter(self.kinds))]
            return
        kind.cores += WEIGHT * (usage.cores - kind.cores)
        kind.memory_gb += WEIGHT * (usage.memory_gb - kind.memory_gb)
        kind.run_s += WEIGHT * (ran_s - kind.run_s)
        kind.samples += 1

    def need(self, spec: JobSpec, *, team: str, margin: float, largest: Resources) -> Resources:
        """Returns the capacity to keep for a job; never more than the largest VM has.

        Args:
            spec: What the submitter declared.
            team: Team of the job.
            margin: Part added to the estimate.
            largest: Largest VM of the pool.
        """
        kind = self.kinds.get((team, spec.task_kind))
        if kind is None or kind.samples < MIN_SAMPLES:
            return spec.resources
        return Resources(
            cores=_correct(spec.resources.cores, kind.cores * (1 + margin), most=largest.cores),
            memory_gb=_correct(
                spec.resources.memory_gb, kind.memory_gb * (1 + margin), most=largest.memory_gb
            ),
            accelerators=spec.resources.accelerators,
        )


def _correct(declared: float, estimate: float, *, most: float) -> float:
    return max(declared * LEAST_PART, min(estimate, max(most, declared)))


__all__ = ["MAX_KINDS", "Estimates", "KindEstimate"]
