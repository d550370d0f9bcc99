"""A pool of worker VMs."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolPolicy:
    """A pool as configured by operators.

    Attributes:
        name: Name of the pool.
        standby: Whether its VMs are powered off until they move to another pool.
        guards_capacity: Whether its VMs reject tasks that exceed their free capacity.
    """

    name: str
    standby: bool = False
    guards_capacity: bool = True


__all__ = ["PoolPolicy"]
