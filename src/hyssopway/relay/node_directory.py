"""Connections to nodes that are identified by their IP address."""

from __future__ import annotations

from typing import Protocol

from hyssopway.peer import PeerConnection

# The nodes of a deployment share a private network and get no shared secret.
PEER_TOKEN = "hyssopway"  # noqa: S105


class ExchangeDirectory(Protocol):
    """Finds the connection for exchange calls to a node."""

    def client(self, daemon: str) -> PeerConnection:
        """Returns the connection to a node, given its IP address."""
        ...


class NodeDirectory:
    """Creates the connection to each node on first use.

    Attributes:
        clients: Connections by IP address.
        own_name: Name of this node in its calls.
        peer_port: TCP port for calls between nodes.
    """

    __slots__ = ("clients", "own_name", "peer_port")

    def __init__(self, *, own_name: str, peer_port: int) -> None:
        self.clients: dict[str, PeerConnection] = {}
        self.own_name = own_name
        self.peer_port = peer_port

    def client(self, daemon: str) -> PeerConnection:
        """Returns the connection to a node, given its IP address."""
        client = self.clients.get(daemon)
        if client is None:
            client = self.clients[daemon] = PeerConnection(
                daemon=daemon, host=daemon, port=self.peer_port, own_name=self.own_name, token=PEER_TOKEN
            )
        return client

    def close(self) -> None:
        """Closes all connections."""
        for client in self.clients.values():
            client.close()


__all__ = ["PEER_TOKEN", "ExchangeDirectory", "NodeDirectory"]
