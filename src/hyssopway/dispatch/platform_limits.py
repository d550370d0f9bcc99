"""Limits that the platform sets for a leader's orders."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformLimits:
    """Limits from the settings of the platform.

    Attributes:
        longest_lease_s: Longest lease that VMs accept.
        stop_s: Longest time that a VM takes to stop a run.
        machine_lease_s: Shortest time between the orders of two leaders for the same machine.
        maintenance_s: Duration of the maintenance of a machine.
        move_s: Duration of the move of a machine to another pool.
        machine_orders_per_s: Rate of machine orders that the platform accepts from all nodes together.
        pacing_s: Time until a change of pace takes effect.
        status_s: How long the status of an ended workflow can be queried.
    """

    longest_lease_s: float
    stop_s: float
    machine_lease_s: float
    maintenance_s: float
    move_s: float
    machine_orders_per_s: float
    pacing_s: float
    status_s: float


__all__ = ["PlatformLimits"]
