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
    """Settings that a daemon reads from its settings file at startup.

    Attributes:
        name: Name of this daemon; one of `peers`.
        peers: Addresses of all daemons of the deployment, including this one.
        operator_token: Bearer token of operators.
        fleet_token: Bearer token of endpoints and workers.
        peer_token: Secret by which daemons authenticate to one another.
        data_dir: Directory for the replicated state; required on control members.
        platform_url: Base URL of the platform's API; None without a platform.
        log_level: Lowest level of the events that are logged.
        log_json: Whether to log one JSON object per event.
        dump_dir: Directory for the state dumps that SIGUSR1 requests.
        drain_health_s: Seconds that a stopping daemon keeps serving while its health check returns 503.
        shutdown_s: Seconds that requests in progress then have to finish.
        snapshot_entries: Number of log entries between two snapshots.
        max_body_bytes: Largest accepted request body.
        max_head_bytes: Largest accepted request head.
        max_connections: Most HTTP connections at a time; further ones are refused.
        memory_mb: Memory of the process; a sixteenth of it may hold unfinished requests.
        tls: Certificate files; None for plain TCP.
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
    max_head_bytes: Annotated[int, Field(ge=8192)] = 65_536
    max_connections: Annotated[int, Field(ge=10, le=1_000_000)] = 4096
    memory_mb: Annotated[int, Field(ge=64)] = 1024
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
        """Returns the address of a daemon by name.

        Raises:
            StopIteration: There is no daemon of this name.
        """
        return next(peer for peer in self.peers if peer.name == name)

    def other_peers(self) -> Iterator[PeerAddress]:
        """Returns the addresses of all other daemons."""
        return (peer for peer in self.peers if peer.name != self.name)


__all__ = ["DaemonSettings"]
