"""Network address of one daemon of the deployment."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from typing import Annotated

from pydantic import AfterValidator, Field


def _validate_ip_address(text: str) -> str:
    ipaddress.ip_address(text)
    return text


IpAddress = Annotated[str, AfterValidator(_validate_ip_address)]
Port = Annotated[int, Field(ge=1, le=65_535)]


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerAddress:
    """Address and ports on which one daemon listens.

    Attributes:
        name: Name of the daemon, unique in the deployment.
        zone: Availability zone of its VM.
        host: IP address.
        http_port: HTTP port for callers, operators, endpoints and workers.
        peer_port: RPC port for other daemons.
        member: Whether the daemon is a control member; its VM must have a disk.
    """

    name: str
    zone: str
    host: IpAddress
    http_port: Port
    peer_port: Port
    member: bool = False


__all__ = ["PeerAddress"]
