"""A team that submits work."""

from __future__ import annotations

from dataclasses import dataclass, field

from .capacity import Capacity


@dataclass(frozen=True, slots=True, kw_only=True)
class TeamPolicy:
    """A team as configured by operators.

    Attributes:
        name: Name of the team.
        keys: API keys of the team.
        priority: Priority among teams; 0 is the highest.
        weight: Relative share of the capacity while demand exceeds it.
        upper_limit: Maximum amounts that its runs may use together; an amount of 0 means no limit.
    """

    name: str
    keys: tuple[str, ...]
    priority: int = 0
    weight: float = 1.0
    upper_limit: Capacity = field(default_factory=Capacity)


__all__ = ["TeamPolicy"]
