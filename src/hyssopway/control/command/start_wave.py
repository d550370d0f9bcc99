"""Starts a maintenance wave."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class StartWave:
    """Starts a wave over the VMs of some pools.

    Attributes:
        request_id: Identity of the request over resends.
        operator: Who asked.
        pools: Pools; all when empty.
    """

    request_id: str
    operator: str
    pools: list[str] = field(default_factory=list)
    kind: Literal["start_wave"] = "start_wave"


__all__ = ["StartWave"]
