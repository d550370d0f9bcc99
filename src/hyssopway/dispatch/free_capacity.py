"""What a VM can still take."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.workflow import Step


@dataclass(slots=True, kw_only=True)
class FreeCapacity:
    """Free capacity of a VM during one round of placement.

    Attributes:
        vm_id: The VM.
        zone: Its zone.
        labels: Kind and rack.
        cpu_millis: Free processor.
        memory_mb: Free memory.
        accelerators: Free accelerators.
        serving: Runs there that must keep a target of their response times.
        filling: Runs there that use only the processor that others leave.
        is_due: Whether its machine waits for its maintenance, so that what starts there is interrupted soon.
        suspicion: Runs that failed there in a row; the lowest is used first.
    """

    vm_id: str
    zone: str
    labels: tuple[str, ...]
    cpu_millis: int
    memory_mb: int
    accelerators: int
    serving: int = 0
    filling: int = 0
    suspicion: int = 0
    is_due: bool = False

    def fits(self, step: Step) -> bool:
        """Tells whether one more task of a step fits."""
        return (
            (step.fills or step.cpu_millis <= self.cpu_millis)
            and step.memory_mb <= self.memory_mb
            and step.accelerators <= self.accelerators
            and (not step.label or step.label in self.labels)
        )

    def count_tasks(self, step: Step) -> int:
        """Returns how many tasks of a step fit."""
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

    def take(self, step: Step) -> None:
        """Takes the room of one task."""
        if not step.fills:
            self.cpu_millis -= step.cpu_millis
        self.memory_mb -= step.memory_mb
        self.accelerators -= step.accelerators


__all__ = ["FreeCapacity"]
