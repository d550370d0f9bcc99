"""Policy for maintenance waves."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from pydantic import Field


@dataclass(frozen=True, slots=True, kw_only=True)
class MaintenancePolicy:
    """Policy for the maintenance of all VMs of an environment.

    Attributes:
        period_s: Seconds within which every VM is maintained once; seven weeks by default.
        canaries: Number of VMs that are maintained first, one at a time.
        drain_s: Seconds that a drain may take before an operator must decide.
        return_s: Seconds that a VM may take to return before it counts as lost.
        max_lost: Number of lost VMs at which a wave pauses.
    """

    period_s: Annotated[float, Field(gt=0, allow_inf_nan=False)] = 7 * 7 * 86_400.0
    canaries: Annotated[int, Field(ge=0)] = 1
    drain_s: Annotated[float, Field(gt=0, allow_inf_nan=False)] = 600.0
    return_s: Annotated[float, Field(gt=0, allow_inf_nan=False)] = 600.0
    max_lost: Annotated[int, Field(ge=1)] = 2


__all__ = ["MaintenancePolicy"]
