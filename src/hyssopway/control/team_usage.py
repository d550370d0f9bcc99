"""Resources in use by the running tasks of a team."""

from __future__ import annotations

from dataclasses import dataclass, field

from hyssopway.document import Resources

# Digits after the point of a sum; the errors of the sums are far below.
DIGITS = 6


@dataclass(slots=True, kw_only=True)
class TeamUsage:
    """Usage of one team.

    Attributes:
        tasks: Number of running tasks.
        resources: Sum of their declared resources.
    """

    tasks: int = 0
    resources: Resources = field(default_factory=Resources)

    def add(self, resources: Resources) -> None:
        """Adds a task that starts."""
        self.tasks += 1
        self.resources = _round(self.resources + resources)

    def remove(self, resources: Resources) -> None:
        """Removes a task that ended."""
        self.tasks -= 1
        # Reset at zero tasks: rounding errors of the subtraction would otherwise add up over many tasks.
        self.resources = _round(self.resources - resources) if self.tasks else Resources()


def _round(resources: Resources) -> Resources:
    # Replicas that restored a snapshot add the same amounts in another order, which gives other last digits.
    return Resources(
        cores=round(resources.cores, DIGITS),
        memory_gb=round(resources.memory_gb, DIGITS),
        accelerators=resources.accelerators,
    )


__all__ = ["TeamUsage"]
