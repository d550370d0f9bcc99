"""A service that callers reach through entry VMs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated

from pydantic import Field

from .budget import Budget


class QueueAccess(StrEnum):
    """Who may send to a service's queue."""

    OPEN = "open"
    KEYED = "keyed"


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Limits and rules of one service.

    Attributes:
        name: Name used in request paths.
        pool: Pool that its endpoints run in.
        access: Whether requests need a team's key.
        idempotent: Whether a request may run more than once.
        slots: Requests that one endpoint handles at a time.
        connections: Connections that one endpoint accepts.
        timeout_s: Deadline of a request that names none.
        longest_timeout_s: Longest deadline that a request may name; a drain waits for it when an entry is
            silent.
        queue_limit: Most requests waiting in one entry process.
        may_borrow: Whether idle VMs of the spare pool may serve it.
        outcome_kept_s: How long the outcome of a non-idempotent request is returned to resends.
        budget: Availability budget of the VMs of its pool, besides the budget of the pool itself.
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
        """Longest deadline that any request of the service has."""
        return max(self.timeout_s, self.longest_timeout_s)


__all__ = ["QueueAccess", "Service"]
