"""The leader's answer to a relayed request."""

from __future__ import annotations

import json
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayedReply:
    """An HTTP answer, or the news that another node leads.

    Attributes:
        status: HTTP status; 0 when the node did not handle the request because it does not lead.
        headers: Headers of the answer.
        body: Body.
        leader: Node that leads as far as known; empty when unknown.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    leader: str = ""

    def encode(self) -> bytes:
        """Encodes the answer: one line of JSON, then the body."""
        return json.dumps([self.status, self.headers, self.leader]).encode() + b"\n" + self.body

    @staticmethod
    def decode(data: bytes) -> RelayedReply:
        """Decodes an answer."""
        head, _, body = data.partition(b"\n")
        status, headers, leader = json.loads(head)
        return RelayedReply(status=status, headers=headers, body=body, leader=leader)


__all__ = ["RelayedReply"]
