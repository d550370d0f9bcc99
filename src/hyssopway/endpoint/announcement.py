"""Message by which an endpoint registers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from pydantic import Field


@dataclass(frozen=True, slots=True, kw_only=True)
class Announcement:
    """Registers an endpoint or renews its lease.

    Attributes:
        service: Service that it serves.
        address: Base URL for requests.
        environment: Environment of the service.
        vm: VM that it runs on; empty when it runs outside the pools.
        slots: Number of requests that it handles at a time.
        connections: Number of connections that it accepts.
    """

    service: str
    address: Annotated[str, Field(pattern=r"^https?://[^/]+$")]
    environment: str = "production"
    vm: str = ""
    slots: Annotated[int, Field(ge=1, le=10_000)] = 8
    connections: Annotated[int, Field(ge=1, le=100_000)] = 64


__all__ = ["Announcement"]
