"""What a team's running tasks hold."""

from __future__ import annotations

from dataclasses import dataclass, field

from hyssopway.document import Resources


@dataclass(slots=True, kw_only=True)
class TeamUsage:
    """Running tasks of one team.

    Attributes:
        tasks: Number of running tasks.
        resources: Sum of their declared needs.
    """

    tasks: int = 0
    resources: Resources = field(default_factory=Resources)

    def add(self, resources: Resources) -> None:
        """Counts a task that starts."""
        self.tasks += 1
        self.resources = self.resources + resources

    def remove(self, resources: Resources) -> None:
        """Stops counting a task that ended."""
        self.tasks -= 1
        # The subtraction leaves rounding residue that would add up over many tasks.
        self.resources = self.resources - resources if self.tasks else Resources()


__all__ = ["TeamUsage"]
