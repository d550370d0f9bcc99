"""What an endpoint says of itself."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from pydantic import Field


@dataclass(frozen=True, slots=True, kw_only=True)
class Announcement:
    """An endpoint announces or renews itself.

    Attributes:
        service: Service that it serves.
        address: Base URL for requests.
        environment: Environment that it belongs to.
        vm: VM that it runs on; empty when it is none of the pools' VMs.
        slots: Requests that it handles at a time.
        connections: Connections that it accepts.
    """

    service: str
    address: Annotated[str, Field(pattern=r"^https?://[^/]+$")]
    environment: str = "production"
    vm: str = ""
    slots: Annotated[int, Field(ge=1, le=10_000)] = 8
    connections: Annotated[int, Field(ge=1, le=100_000)] = 64


__all__ = ["Announcement"]
