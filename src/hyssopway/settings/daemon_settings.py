"""Settings of one daemon process."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Annotated, Literal

from pydantic import Field

from .peer_address import PeerAddress
from .tls_settings import TlsSettings

if TYPE_CHECKING:
    from collections.abc import Iterator

LogLevel = Literal["TRACE", "DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL"]
Secret = Annotated[str, Field(min_length=8, repr=False)]


@dataclass(slots=True, kw_only=True)
class DaemonSettings:
    """What one daemon knows before it meets any other process.

    Attributes:
        name: Name of this daemon; one of `peers`.
        peers: All daemons of the deployment, this one included.
        operator_token: Secret that operators present.
        fleet_token: Secret that endpoints and workers present.
        peer_token: Secret that daemons present to one another.
        data_dir: Folder for agreed state; only on VMs with a disk.
        platform_url: Base URL of the platform's API.
        log_level: Lowest level written to the log.
        log_json: One JSON object for each log event.
        dump_dir: Folder for dumps on SIGUSR1.
        drain_health_s: Seconds that a stopping daemon still serves while its health is 503.
        shutdown_s: Seconds that requests in progress then get.
        snapshot_entries: Log entries between two snapshots.
        max_body_bytes: Largest request body accepted.
        max_connections: Most HTTP connections at a time; more are refused.
        tls: Certificates; plain TCP without.
    """

    name: str
    peers: list[PeerAddress]
    operator_token: Secret
    fleet_token: Secret
    peer_token: Secret
    data_dir: str | None = None
    platform_url: str | None = None
    log_level: LogLevel = "INFO"
    log_json: bool = False
    dump_dir: str = "."
    drain_health_s: Annotated[float, Field(ge=0, le=600)] = 5.0
    shutdown_s: Annotated[float, Field(gt=0, le=3600)] = 30.0
    snapshot_entries: Annotated[int, Field(ge=10)] = 10_000
    max_body_bytes: Annotated[int, Field(ge=1024)] = 16 * 1024 * 1024
    max_connections: Annotated[int, Field(ge=10, le=1_000_000)] = 4096
    tls: TlsSettings | None = field(default=None)

    @property
    def own_address(self) -> PeerAddress:
        """Address of this daemon."""
        return self.peer(name=self.name)

    @property
    def zone(self) -> str:
        """Availability zone of this daemon."""
        return self.own_address.zone

    def peer(self, *, name: str) -> PeerAddress:
        """Returns the address of a daemon by name."""
        return next(peer for peer in self.peers if peer.name == name)

    def other_peers(self) -> Iterator[PeerAddress]:
        """Yields all other daemons."""
        return (peer for peer in self.peers if peer.name != self.name)


__all__ = ["DaemonSettings"]
