"""A service that callers reach through entry VMs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated

from pydantic import Field

from .budget import Budget


class QueueAccess(StrEnum):
    """Who may send requests to a service."""

    OPEN = "open"
    KEYED = "keyed"


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Limits and policies of one service.

    Attributes:
        name: Name used in request paths.
        pool: Name of the pool that its endpoints run in.
        access: Whether requests must carry a team's key.
        idempotent: Whether a request may safely run more than once.
        slots: Number of requests that one endpoint handles at a time.
        connections: Number of connections that one endpoint accepts.
        timeout_s: Timeout of a request that sets none.
        longest_timeout_s: Longest timeout that a request may set. A drain waits that long when an entry daemon
            does not reply.
        queue_limit: Most requests that may wait in one entry daemon.
        may_borrow: Whether idle VMs of the spare pool may serve it.
        outcome_kept_s: Seconds for which the outcome of a non-idempotent request is kept for retries.
        budget: Availability budget of the VMs of its pool, in addition to the pool's own budget.
    """

    name: str
    pool: str
    access: QueueAccess = QueueAccess.OPEN
    idempotent: bool = True
    slots: Annotated[int, Field(ge=1, le=10_000)] = 8
    connections: Annotated[int, Field(ge=1, le=100_000)] = 64
    timeout_s: Annotated[float, Field(gt=0, le=3600)] = 10.0
    longest_timeout_s: Annotated[float, Field(gt=0, le=3600)] = 60.0
    queue_limit: Annotated[int, Field(ge=0, le=1_000_000)] = 1000
    may_borrow: bool = False
    outcome_kept_s: Annotated[float, Field(gt=0, allow_inf_nan=False)] = 86_400.0
    budget: Budget | None = None

    @property
    def deadline_limit_s(self) -> float:
        """Longest timeout that a request of the service can have."""
        return max(self.timeout_s, self.longest_timeout_s)


__all__ = ["QueueAccess", "Service"]
