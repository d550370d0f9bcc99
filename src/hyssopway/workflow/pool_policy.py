"""A pool of worker VMs."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolPolicy:
    """A pool as operators describe it.

    Attributes:
        name: Name of the pool.
        standby: Whether its VMs are switched off until they move to another pool.
        guards_capacity: Whether its VMs refuse what does not fit.
    """

    name: str
    standby: bool = False
    guards_capacity: bool = True


__all__ = ["PoolPolicy"]
