"""What a VM can still take."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.workflow import Step


@dataclass(slots=True, kw_only=True)
class VmRoom:
    """Free capacity of a VM during one round of placement.

    Attributes:
        vm_id: The VM.
        zone: Its zone.
        labels: Kind and rack.
        cpu_millis: Free processor.
        memory_mb: Free memory.
        accelerators: Free accelerators.
        is_due: Whether its machine waits for its maintenance, so that what starts there is interrupted soon.
        suspicion: Runs that failed there in a row; the lowest is used first.
    """

    vm_id: str
    zone: str
    labels: tuple[str, ...]
    cpu_millis: int
    memory_mb: int
    accelerators: int
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

    def take(self, step: Step) -> None:
        """Takes the room of one task."""
        if not step.fills:
            self.cpu_millis -= step.cpu_millis
        self.memory_mb -= step.memory_mb
        self.accelerators -= step.accelerators


__all__ = ["VmRoom"]
