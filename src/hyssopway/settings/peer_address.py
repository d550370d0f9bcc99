"""Address of one daemon of the deployment."""

from __future__ import annotations

from dataclasses import dataclass


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
    http_port: int
    peer_port: int
    member: bool = False


__all__ = ["PeerAddress"]
