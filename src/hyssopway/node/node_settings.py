"""Settings of a node that discovers its peers instead of listing them."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Settings that a node is started with.

    Attributes:
        name: Name of the node, for logs and orders to the platform.
        host: IP address of the node, which also identifies it to its peers.
        peer_port: Port for calls between nodes; the same on all nodes.
        seed_hosts: IP addresses of control nodes to contact first; these may be down or replaced.
        data_dir: Folder for durable state; None on a node without a disk.
        is_first_start: Whether the deployment starts for the first time, with empty disks.
        tolerated_losses: Number of disks that may be lost at the same time.
        stop_timeout_s: Maximum duration of a graceful stop, in seconds.
        started_at: Monotonic time at which the process started, in seconds; None for the time at which the member is
            created.
    """

    name: str
    host: str
    peer_port: int
    seed_hosts: tuple[str, ...]
    data_dir: Path | None
    is_first_start: bool
    tolerated_losses: int
    stop_timeout_s: float
    started_at: float | None = None


__all__ = ["NodeSettings"]
