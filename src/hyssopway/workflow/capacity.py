"""Amounts of CPU, memory and accelerators."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Capacity:
    """Capacity of a VM, or upper limit of a team.

    Attributes:
        cpu_millis: Thousandths of a core.
        memory_mb: Memory in megabytes.
        accelerators: Number of accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0


__all__ = ["Capacity"]
