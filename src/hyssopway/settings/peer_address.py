"""Address of one daemon of the deployment."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from pydantic import Field

Port = Annotated[int, Field(ge=1, le=65_535)]


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerAddress:
    """Where one daemon listens.

    Attributes:
        name: Name of the daemon, unique in the deployment.
        zone: Availability zone of its VM.
        host: IP number.
        http_port: Port for callers, operators, endpoints and workers.
        peer_port: Port for other daemons.
        member: Whether the VM has a disk and carries a control member.
    """

    name: str
    zone: str
    host: str
    http_port: Port
    peer_port: Port
    member: bool = False


__all__ = ["PeerAddress"]
