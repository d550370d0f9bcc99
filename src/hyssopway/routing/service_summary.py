"""Summary of a service that a home of its endpoints sends to other daemons."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSummary:
    """Slots and load of one service at one home.

    Attributes:
        environment: Name of the environment.
        service: Name of the service.
        slots: Number of slots of the service's endpoints at this home.
        free: Number of slots for which no credit is issued.
        waiting: Number of requests waiting at this daemon.
        service_s: Mean time in seconds that a request holds a slot.
    """

    environment: str
    service: str
    slots: int
    free: int
    waiting: int
    service_s: float


__all__ = ["ServiceSummary"]
