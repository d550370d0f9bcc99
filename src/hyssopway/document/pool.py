"""A pool of VMs."""

from __future__ import annotations

from dataclasses import dataclass, field

from .budget import Budget


@dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """A named set of VMs that run the endpoints of one service, and jobs.

    Attributes:
        name: Name of the pool.
        spare: Whether this is the spare pool, which lends its VMs to other pools.
        budget: Availability budget of its VMs.
    """

    name: str
    spare: bool = False
    budget: Budget = field(default_factory=Budget)


__all__ = ["Pool"]
