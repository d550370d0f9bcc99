"""RPC between daemons over Cap'n Proto."""

from __future__ import annotations

from .client import PeerClient
from .credits import Credit, CreditReply, CreditRequest
from .directory import PeerDirectory
from .errors import PeerUnreachableError
from .handlers import PeerHandlers
from .replies import ConfirmReply, ProposeReply, SnapshotPart, WatchReply
from .server import SNAPSHOT_PART_BYTES, PeerServer

__all__ = [
    "SNAPSHOT_PART_BYTES",
    "ConfirmReply",
    "Credit",
    "CreditReply",
    "CreditRequest",
    "PeerClient",
    "PeerDirectory",
    "PeerHandlers",
    "PeerServer",
    "PeerUnreachableError",
    "ProposeReply",
    "SnapshotPart",
    "WatchReply",
]
