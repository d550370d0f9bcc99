"""The configuration of queues, pools and teams."""

from __future__ import annotations

from dataclasses import dataclass

from .pool_policy import PoolPolicy
from .queue import Queue
from .team_policy import TeamPolicy


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetDocument:
    """Configuration of one version.

    Attributes:
        version: Version; the highest takes effect.
        queues: All queues.
        pools: All pools.
        teams: All teams.
        max_body_bytes: Longest body of a request.
        source: The document as operators sent it.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[PoolPolicy, ...]
    teams: tuple[TeamPolicy, ...]
    max_body_bytes: int
    source: str


__all__ = ["FleetDocument"]
