"""Clients for the control nodes, which are identified by their IP address."""

from __future__ import annotations

from hyssopway.peer import PeerClient, PeerDirectory
from hyssopway.relay import PEER_TOKEN


class MemberDirectory(PeerDirectory):
    """Creates the client for each control node on first use; also the transport between the members.

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


__all__ = ["MemberDirectory"]
