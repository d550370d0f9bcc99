"""Availability budget of a pool or service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from pydantic import Field


@dataclass(frozen=True, slots=True, kw_only=True)
class Budget:
    """Limits on VMs that are down at the same time, planned and unplanned together.

    Attributes:
        max_down: Most VMs down in total.
        max_down_per_rack: Most VMs down in one rack.
        max_down_per_zone: Most VMs down in one availability zone; not applied while the zone is withdrawn.
    """

    max_down: Annotated[int, Field(ge=0)] = 1
    max_down_per_rack: Annotated[int, Field(ge=0)] = 1
    max_down_per_zone: Annotated[int, Field(ge=0)] = 1


__all__ = ["Budget"]
