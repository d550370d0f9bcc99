"""The configuration of queues, pools and teams."""

from __future__ import annotations

from dataclasses import dataclass

from .pool_policy import PoolPolicy
from .queue import Queue
from .team_policy import TeamPolicy


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetDocument:
    """One version of the configuration.

    Attributes:
        version: Version number; the highest one is active.
        queues: Queues.
        pools: Pools.
        teams: Teams.
        max_body_bytes: Maximum size of a request body.
        source: Text of the document as operators sent it.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[PoolPolicy, ...]
    teams: tuple[TeamPolicy, ...]
    max_body_bytes: int
    source: str


__all__ = ["FleetDocument"]
