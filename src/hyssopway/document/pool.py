"""A pool of VMs."""

from __future__ import annotations

from dataclasses import dataclass, field

from .budget import Budget


@dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """A named set of VMs that carries one service's endpoints and its jobs.

    Attributes:
        name: Name of the pool.
        spare: Whether this pool lends its VMs to others.
        budget: Availability budget of its VMs.
    """

    name: str
    spare: bool = False
    budget: Budget = field(default_factory=Budget)


__all__ = ["Pool"]
