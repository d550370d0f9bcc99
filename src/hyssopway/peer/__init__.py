"""RPC between daemons over Cap'n Proto; each exported name is imported on first use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.lazy_exports import lazy_exports

if TYPE_CHECKING:
    from .client import PeerClient
    from .connection import PeerConnection
    from .credits import Credit, CreditReply, CreditRequest
    from .directory import PeerDirectory
    from .errors import PeerUnreachableError
    from .handlers import PeerHandlers
    from .replies import ConfirmReply, ProposeReply, SnapshotPart, WatchReply
    from .server import SNAPSHOT_PART_BYTES, PeerServer
else:
    __getattr__ = lazy_exports(
        __name__,
        {
            "SNAPSHOT_PART_BYTES": "server",
            "ConfirmReply": "replies",
            "Credit": "credits",
            "CreditReply": "credits",
            "CreditRequest": "credits",
            "PeerClient": "client",
            "PeerConnection": "connection",
            "PeerDirectory": "directory",
            "PeerHandlers": "handlers",
            "PeerServer": "server",
            "PeerUnreachableError": "errors",
            "ProposeReply": "replies",
            "SnapshotPart": "replies",
            "WatchReply": "replies",
        },
    )

__all__ = [
    "SNAPSHOT_PART_BYTES",
    "ConfirmReply",
    "Credit",
    "CreditReply",
    "CreditRequest",
    "PeerClient",
    "PeerConnection",
    "PeerDirectory",
    "PeerHandlers",
    "PeerServer",
    "PeerUnreachableError",
    "ProposeReply",
    "SnapshotPart",
    "WatchReply",
]
