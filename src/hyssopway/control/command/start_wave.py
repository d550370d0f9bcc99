"""Starts a maintenance wave."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class StartWave:
    """Starts a wave over the VMs of some pools.

    Attributes:
        request_id: ID of the request; a retry has the same one.
        operator: Operator who sent the request.
        pools: Names of the pools; empty for all pools.
    """

    request_id: str
    operator: str
    pools: list[str] = field(default_factory=list)
    kind: Literal["start_wave"] = "start_wave"


__all__ = ["StartWave"]
