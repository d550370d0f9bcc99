"""RPC clients of all other daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .client import PeerClient
from .errors import PeerUnreachableError

if TYPE_CHECKING:
    import ssl

    from hyssopway.agreement.messages import (
        AppendReply,
        AppendRequest,
        SnapshotChunk,
        VoteReply,
        VoteRequest,
    )
    from hyssopway.settings import DaemonSettings


class PeerDirectory:
    """Clients by daemon name; also the transport between control members.

    Attributes:
        clients: Client of each other daemon, by name.
    """

    __slots__ = ("clients",)

    def __init__(self, *, settings: DaemonSettings, tls: ssl.SSLContext | None = None) -> None:
        self.clients = {
            peer.name: PeerClient(
                daemon=peer.name,
                host=peer.host,
                port=peer.peer_port,
                own_name=settings.name,
                token=settings.peer_token,
                tls=tls,
            )
            for peer in settings.other_peers()
        }

    def client(self, daemon: str) -> PeerClient:
        """Returns the client of a daemon.

        Raises:
            PeerUnreachableError: The daemon is not in the settings.
        """
        client = self.clients.get(daemon)
        if client is None:
            raise PeerUnreachableError(f"daemon {daemon!r} is not in the settings", is_sent=False)
        return client

    async def vote(self, *, daemon: str, request: VoteRequest, timeout_s: float) -> VoteReply:
        """Requests a vote of a member."""
        return await self.client(daemon).vote(request=request, timeout_s=timeout_s)

    async def append(self, *, daemon: str, request: AppendRequest, timeout_s: float) -> AppendReply:
        """Sends log entries or a heartbeat to a member."""
        return await self.client(daemon).append(request=request, timeout_s=timeout_s)

    async def install_snapshot(self, *, daemon: str, chunk: SnapshotChunk, timeout_s: float) -> AppendReply:
        """Sends a chunk of a snapshot to a member."""
        return await self.client(daemon).install_snapshot(chunk=chunk, timeout_s=timeout_s)

    def close(self) -> None:
        """Closes all connections."""
        for client in self.clients.values():
            client.close()


__all__ = ["PeerDirectory"]
