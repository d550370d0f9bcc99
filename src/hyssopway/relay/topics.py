"""Topics of messages between nodes."""

from __future__ import annotations

RELAY = "relay"
LEADER = "leader"
JOIN = "join"
STOPPING = "stopping"
SUPPORTED_VERSION = "supported_version"

__all__ = ["JOIN", "LEADER", "RELAY", "STOPPING", "SUPPORTED_VERSION"]
