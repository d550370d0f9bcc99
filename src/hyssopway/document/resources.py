"""Amounts of cores, memory and accelerators."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from pydantic import Field

Amount = Annotated[float, Field(ge=0, allow_inf_nan=False)]


@dataclass(frozen=True, slots=True, kw_only=True)
class Resources:
    """Capacity of a worker or demand of a task.

    Attributes:
        cores: CPU cores.
        memory_gb: Memory in gigabytes.
        accelerators: Number of accelerators.
    """

    cores: Amount = 0.0
    memory_gb: Amount = 0.0
    accelerators: Annotated[int, Field(ge=0)] = 0

    def __add__(self, other: Resources) -> Resources:
        """Adds two amounts field by field."""
        return Resources(
            cores=self.cores + other.cores,
            memory_gb=self.memory_gb + other.memory_gb,
            accelerators=self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        """Subtracts an amount field by field, with zero as the lower limit."""
        return Resources(
            cores=max(0.0, self.cores - other.cores),
            memory_gb=max(0.0, self.memory_gb - other.memory_gb),
            accelerators=max(0, self.accelerators - other.accelerators),
        )

    def fits_in(self, other: Resources) -> bool:
        """Tells whether no field of this amount exceeds that of another."""
        return (
            self.cores <= other.cores + ROUNDING_TOLERANCE
            and self.memory_gb <= other.memory_gb + ROUNDING_TOLERANCE
            and self.accelerators <= other.accelerators
        )

    def dominant_share(self, total: Resources) -> float:
        """Returns the largest fraction of `total` over all fields."""
        fractions = [0.0]
        if total.cores > 0:
            fractions.append(self.cores / total.cores)
        if total.memory_gb > 0:
            fractions.append(self.memory_gb / total.memory_gb)
        if total.accelerators > 0:
            fractions.append(self.accelerators / total.accelerators)
        return max(fractions)


# Sums of many fractional amounts have rounding errors in the last digits.
ROUNDING_TOLERANCE = 1e-6

__all__ = ["Resources"]
