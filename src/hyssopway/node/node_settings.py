"""Settings of a node whose peers are found and not listed."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """What a node knows at its start.

    Attributes:
        name: Name of the node, for logs and orders to the platform.
        host: IP number of the node, which is also its name among its peers.
        peer_port: Port for calls between nodes; the same on all nodes.
        seed_hosts: IP numbers of control nodes to ask first; they may be down or replaced.
        data_dir: Folder for durable state; None on a node without a disk.
        is_first_start: Whether the deployment starts for the first time, with empty disks.
        tolerated_losses: Disks that may be lost at the same time.
        stop_timeout_s: Time after which a stop is no longer graceful.
        started_at: Monotonic time at which the process started; None for the time at which the member is built.
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
