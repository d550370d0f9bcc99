"""What daemons tell one another of the services whose home they are."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Summary:
    """Soft state of one service at one home.

    Attributes:
        environment: Environment.
        service: Service.
        slots: Slots of its endpoints there.
        free: Slots for which no credit is out.
        waiting: Requests that wait at that daemon.
        service_s: Mean time that a request holds a slot.
    """

    environment: str
    service: str
    slots: int
    free: int
    waiting: int
    service_s: float


__all__ = ["Summary"]
