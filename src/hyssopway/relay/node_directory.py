"""Clients for nodes that are identified by their IP address."""

from __future__ import annotations

from hyssopway.peer import PeerClient, PeerDirectory

# The nodes of a deployment share a private network and get no shared secret.
PEER_TOKEN = "hyssopway"  # noqa: S105


class NodeDirectory(PeerDirectory):
    """Creates the client for each node on first use.

    Attributes:
        own_name: Name of this node in its calls.
        peer_port: TCP port for calls between nodes.
    """

    __slots__ = ("own_name", "peer_port")

    def __init__(self, *, own_name: str, peer_port: int) -> None:
        self.clients: dict[str, PeerClient] = {}
        self.own_name = own_name
        self.peer_port = peer_port

    def client(self, daemon: str) -> PeerClient:
        """Returns the client for a node, given its IP address."""
        client = self.clients.get(daemon)
        if client is None:
            client = self.clients[daemon] = PeerClient(
                daemon=daemon, host=daemon, port=self.peer_port, own_name=self.own_name, token=PEER_TOKEN
            )
        return client


__all__ = ["PEER_TOKEN", "NodeDirectory"]
