"""Clients of nodes that are named by their IP number."""

from __future__ import annotations

from hyssopway.peer import PeerClient, PeerDirectory

# Nodes of one deployment share a private network and are told no secret.
PEER_TOKEN = "hyssopway"  # noqa: S105


class NodeDirectory(PeerDirectory):
    """Makes a client for each node when it is first called.

    Attributes:
        own_name: Name under which this node calls.
        peer_port: Port for calls between nodes.
    """

    __slots__ = ("own_name", "peer_port")

    def __init__(self, *, own_name: str, peer_port: int) -> None:
        self.clients: dict[str, PeerClient] = {}
        self.own_name = own_name
        self.peer_port = peer_port

    def client(self, daemon: str) -> PeerClient:
        """Returns the client of a node."""
        client = self.clients.get(daemon)
        if client is None:
            client = self.clients[daemon] = PeerClient(
                daemon=daemon, host=daemon, port=self.peer_port, own_name=self.own_name, token=PEER_TOKEN
            )
        return client


__all__ = ["PEER_TOKEN", "NodeDirectory"]
