"""Reply to a relayed request."""

from __future__ import annotations

import json
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayedReply:
    """HTTP response of the leader, or a redirect from a node that does not lead.

    Attributes:
        status: HTTP status; 0 if the node did not handle the request because it does not lead.
        headers: HTTP response headers.
        body: HTTP response body.
        leader: Current leader as far as the node knows; empty if unknown.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    leader: str = ""

    def encode(self) -> bytes:
        """Encodes the reply as one line of JSON followed by the body."""
        return json.dumps([self.status, self.headers, self.leader]).encode() + b"\n" + self.body

    @staticmethod
    def decode(data: bytes) -> RelayedReply:
        """Decodes a reply."""
        head, _, body = data.partition(b"\n")
        status, headers, leader = json.loads(head)
        return RelayedReply(status=status, headers=headers, body=body, leader=leader)


__all__ = ["RelayedReply"]
