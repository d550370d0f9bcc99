"""A maintenance wave as agreed."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class WaveRecord:
    """A wave over machines that each need one maintenance.

    Attributes:
        number: Number of the wave.
        machines: Machines that are due.
        deadline_ms: Wall-clock time by which all should have begun.
        max_down: Most machines of the wave that may be down at once.
        begun: Machines whose maintenance was ordered, with the wall-clock time of the order.
        confirmed: Machines whose order the platform confirmed, or that are gone.
    """

    number: int
    machines: tuple[str, ...]
    deadline_ms: int
    max_down: int
    begun: dict[str, int] = field(default_factory=dict)
    confirmed: set[str] = field(default_factory=set)

    @property
    def is_complete(self) -> bool:
        """Whether every machine has begun its maintenance."""
        return len(self.confirmed) >= len(self.machines)


__all__ = ["WaveRecord"]
