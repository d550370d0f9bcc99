"""Message by which an endpoint registers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated
from urllib.parse import urlsplit

from pydantic import AfterValidator, Field

MAX_HOST_LENGTH = 253
MAX_LABEL_LENGTH = 63


def _check_base_url(address: str) -> str:
    parts = urlsplit(address)
    host = parts.hostname or ""
    if parts.port == 0:  # reading the port raises ValueError if it is above 65535 or no number
        raise ValueError("port 0 is not a port of an endpoint")
    if not host.isascii() or len(host) > MAX_HOST_LENGTH:
        raise ValueError(f"the host is not an ASCII name of at most {MAX_HOST_LENGTH} characters")
    if any(len(label) > MAX_LABEL_LENGTH for label in host.split(".")):
        raise ValueError(f"a label of the host is longer than {MAX_LABEL_LENGTH} characters")
    return address


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
    address: Annotated[str, Field(pattern=r"^https?://[^/]+$"), AfterValidator(_check_base_url)]
    environment: str = "production"
    vm: str = ""
    slots: Annotated[int, Field(ge=1, le=10_000)] = 8
    connections: Annotated[int, Field(ge=1, le=100_000)] = 64


__all__ = ["Announcement"]
