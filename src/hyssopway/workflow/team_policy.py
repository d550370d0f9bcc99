"""A team that submits work."""

from __future__ import annotations

from dataclasses import dataclass, field

from .capacity import Capacity


@dataclass(frozen=True, slots=True, kw_only=True)
class TeamPolicy:
    """A team as operators describe it.

    Attributes:
        name: Name of the team.
        keys: Keys that its calls carry.
        priority: Order among teams; 0 comes first.
        weight: Share when all is full.
        upper_limit: What it may have running; an amount of 0 is no limit.
    """

    name: str
    keys: tuple[str, ...]
    priority: int = 0
    weight: float = 1.0
    upper_limit: Capacity = field(default_factory=Capacity)


__all__ = ["TeamPolicy"]
