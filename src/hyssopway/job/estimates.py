"""Estimates of the actual resource usage of each kind of task."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hyssopway.document import Resources

if TYPE_CHECKING:
    from hyssopway.control.record import JobSpec

# Weighs about the last ten runs; a single outlier moves the estimate by a fifth of its deviation.
SMOOTHING_FACTOR = 0.2
MIN_SAMPLES = 3

# Submitters choose the names of task kinds, so their number is bounded to protect the leader's memory.
MAX_KINDS = 10_000

# A wrong usage report must not make a task look free: at most four tasks share the declared size of one.
MIN_DECLARED_FRACTION = 0.25


@dataclass(slots=True, kw_only=True)
class KindEstimate:
    """Moving averages over the completed runs of one task kind of a team.

    Attributes:
        cores: Cores used.
        memory_gb: Memory used in GB.
        run_s: Run time in seconds.
        samples: Number of runs observed.
    """

    cores: float
    memory_gb: float
    run_s: float
    samples: int = 1


@dataclass(slots=True, kw_only=True)
class Estimates:
    """Usage estimates; kept in memory, so a new leader starts empty.

    Attributes:
        kinds: Estimates by team and task kind.
    """

    kinds: dict[tuple[str, str], KindEstimate] = field(default_factory=dict)

    def observe(self, *, team: str, task_kind: str, usage: Resources, ran_s: float) -> None:
        """Adds the last usage report of a completed run."""
        kind = self.kinds.get((team, task_kind))
        if kind is None:
            self.kinds[team, task_kind] = KindEstimate(
                cores=usage.cores, memory_gb=usage.memory_gb, run_s=ran_s
            )
            if len(self.kinds) > MAX_KINDS:
                del self.kinds[next(iter(self.kinds))]
            return
        kind.cores += SMOOTHING_FACTOR * (usage.cores - kind.cores)
        kind.memory_gb += SMOOTHING_FACTOR * (usage.memory_gb - kind.memory_gb)
        kind.run_s += SMOOTHING_FACTOR * (ran_s - kind.run_s)
        kind.samples += 1

    def need(self, spec: JobSpec, *, team: str, margin: float, largest: Resources) -> Resources:
        """Returns the capacity to reserve for a job; at most the larger of its declared size and the largest VM.

        Returns the declared resources until the task kind has `MIN_SAMPLES` runs.

        Args:
            spec: Specification by the submitter.
            team: Team of the job.
            margin: Fraction added to the estimate.
            largest: Capacity of the largest VM of the pool.
        """
        kind = self.kinds.get((team, spec.task_kind))
        if kind is None or kind.samples < MIN_SAMPLES:
            return spec.resources
        return Resources(
            cores=_clamp_estimate(spec.resources.cores, kind.cores * (1 + margin), upper_bound=largest.cores),
            memory_gb=_clamp_estimate(
                spec.resources.memory_gb, kind.memory_gb * (1 + margin), upper_bound=largest.memory_gb
            ),
            accelerators=spec.resources.accelerators,
        )


def _clamp_estimate(declared: float, estimate: float, *, upper_bound: float) -> float:
    return max(declared * MIN_DECLARED_FRACTION, min(estimate, max(upper_bound, declared)))


__all__ = ["MAX_KINDS", "Estimates", "KindEstimate"]
