"""The replicated record of a maintenance wave."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class WaveRecord:
    """A maintenance wave: a set of machines that each have to be maintained once.

    Attributes:
        number: Number of the wave.
        machines: Machines to be maintained.
        deadline_ms: Wall-clock time by which all maintenance should have begun.
        max_down: Maximum number of machines of the wave that may be down at the same time.
        begun: Wall-clock time of the request to the platform, by machine.
        confirmed: Machines whose request the platform confirmed, or that are gone.
    """

    number: int
    machines: tuple[str, ...]
    deadline_ms: int
    max_down: int
    begun: dict[str, int] = field(default_factory=dict)
    confirmed: set[str] = field(default_factory=set)

    @property
    def is_complete(self) -> bool:
        """Whether the maintenance of every machine has begun or the machine is gone."""
        return len(self.confirmed) >= len(self.machines)


__all__ = ["WaveRecord"]
