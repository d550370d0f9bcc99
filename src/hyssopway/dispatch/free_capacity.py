"""Free capacity of a VM."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from hyssopway.scheduling.crash_isolation import NO_SUSPECTS, SuspectLoad
from hyssopway.scheduling.neighbours import rank_for_best_effort, rank_for_serving
from hyssopway.workflow import Step, Usage


@dataclass(slots=True, kw_only=True)
class FreeCapacity:
    """Free capacity of a VM during one scheduling round; each placement reduces it.

    Attributes:
        vm_id: ID of the VM.
        zone: Availability zone.
        labels: Kind and rack of the VM.
        cpu_millis: Free CPU in millicores.
        memory_mb: Free memory in megabytes.
        accelerators: Free accelerators.
        serving: Latency-bound runs on the VM.
        best_effort: Best-effort runs on the VM; they use only CPU time that other runs leave.
        latency_bound_images: Images of the latency-bound runs; needed only when pairs are known.
        best_effort_images: Images of the best-effort runs; needed only when pairs are known.
        known_pairs: Whether each known pair of latency-bound and best-effort image disturbs.
        added: Steps with a latency target and best-effort steps of the tasks that were placed in this round.
        serving_ranks: Results of `rank_for_serving` by image, since each task of a step asks every VM.
        best_effort_ranks: Results of `rank_for_best_effort` by image.
        has_long_running: Whether long-running tasks keep the VM in its pool, if machines can leave it.
        recent_failures: Consecutive runs that failed on the VM; VMs with fewer failures are preferred.
        runs: Number of runs on the VM.
        suspect_load: Runs on the VM whose tasks may crash it.
        is_probed: Whether the VM gets only one run, to see whether it has recovered.
        has_long_lease: Whether a long-running task would be without a run for too long if the VM were lost now.
        awaits_maintenance: Whether the machine awaits maintenance, which soon interrupts what runs on it.
    """

    vm_id: str
    zone: str
    labels: tuple[str, ...]
    cpu_millis: int
    memory_mb: int
    accelerators: int
    serving: int = 0
    best_effort: int = 0
    latency_bound_images: tuple[str, ...] = ()
    best_effort_images: tuple[str, ...] = ()
    known_pairs: Mapping[tuple[str, str], bool] = field(default_factory=dict)
    added: list[Step] = field(default_factory=list)
    serving_ranks: dict[str, int] = field(default_factory=dict)
    best_effort_ranks: dict[str, tuple[int, int]] = field(default_factory=dict)
    has_long_running: bool = False
    recent_failures: int = 0
    runs: int = 0
    suspect_load: SuspectLoad = NO_SUSPECTS
    is_probed: bool = False
    has_long_lease: bool = False
    awaits_maintenance: bool = False

    def fits(self, step: Step) -> bool:
        """Returns whether one more task of a step fits."""
        return (
            (step.fills or step.cpu_millis <= self.cpu_millis)
            and step.memory_mb <= self.memory_mb
            and step.accelerators <= self.accelerators
            and (not step.label or step.label in self.labels)
        )

    def max_tasks(self, step: Step) -> int:
        """Returns how many tasks of a step fit, within the step's spread limit."""
        if not self.fits(step):
            return 0
        counts = [step.count]
        if step.cpu_millis and not step.fills:
            counts.append(self.cpu_millis // step.cpu_millis)
        if step.memory_mb:
            counts.append(self.memory_mb // step.memory_mb)
        if step.accelerators:
            counts.append(self.accelerators // step.accelerators)
        if step.spread_limit:
            counts.append(step.spread_limit)
        return min(counts)

    def reserve(self, step: Step) -> None:
        """Subtracts the resources of one task."""
        self.runs += 1
        if not step.fills:
            self.cpu_millis -= step.cpu_millis
        self.memory_mb -= step.memory_mb
        self.accelerators -= step.accelerators
        if self.known_pairs and (step.fills or step.target_ms):
            self.added.append(step)
            self.serving_ranks.clear()
            self.best_effort_ranks.clear()

    def reserve_usage(self, usage: Usage) -> None:
        """Subtracts resources that runs use which the replicated state does not know."""
        self.cpu_millis -= usage.cpu_millis
        self.memory_mb -= usage.memory_mb
        self.accelerators -= usage.accelerators

    def rank_for_serving(self, step: Step) -> int:
        """Returns how far a task with a latency target should avoid the VM, given known pairs."""
        rank = self.serving_ranks.get(step.image)
        if rank is None:
            rank = self.serving_ranks[step.image] = rank_for_serving(
                step.image,
                best_effort=self.best_effort_images,
                added=[added.image for added in self.added if added.fills],
                known_pairs=self.known_pairs,
            )
        return rank

    def rank_for_best_effort(self, step: Step) -> tuple[int, int]:
        """Returns how far a best-effort task should avoid the VM, given known pairs."""
        rank = self.best_effort_ranks.get(step.image)
        if rank is None:
            rank = self.best_effort_ranks[step.image] = rank_for_best_effort(
                step.image,
                latency_bound=self.latency_bound_images,
                added=[added.image for added in self.added if not added.fills],
                known_pairs=self.known_pairs,
            )
        return rank


__all__ = ["FreeCapacity"]
