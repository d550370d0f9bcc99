"""Reply to a relayed request."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

# Header of a redirect whose request the former leader proposed without a confirmed commit. Releases that do not know it
# ignore the headers of a redirect.
MAY_HAVE_RUN_HEADER = "X-May-Have-Run"
# Header of a reply without a status in which the leader asks to confirm that the caller still waits.
CONFIRM_HEADER = "X-Confirm-Token"


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

    @staticmethod
    def redirect(*, leader: str, may_have_run: bool = False) -> RelayedReply:
        """Returns the reply of a node that does not lead.

        Args:
            leader: Current leader as far as the node knows; empty if unknown.
            may_have_run: Whether the node led when it received the request, and a command of it may be committed.
        """
        headers = {MAY_HAVE_RUN_HEADER: "1"} if may_have_run else {}
        return RelayedReply(status=0, headers=headers, leader=leader)

    @staticmethod
    def ask_to_confirm(token: str) -> RelayedReply:
        """Returns the reply of a leader that carries out the request only with this token, from a caller that waits."""
        return RelayedReply(status=0, headers={CONFIRM_HEADER: token})

    @property
    def confirm_token(self) -> str:
        """Token with which the request is to be sent again; empty if the leader did not ask for it."""
        return self.headers.get(CONFIRM_HEADER, "")

    @property
    def may_have_run(self) -> bool:
        """Whether the request of a redirect may take effect although it was not answered."""
        return MAY_HAVE_RUN_HEADER in self.headers

    def encode(self) -> bytes:
        """Encodes the reply as one line of JSON followed by the body."""
        return json.dumps([self.status, self.headers, self.leader]).encode() + b"\n" + self.body

    @staticmethod
    def decode(data: bytes) -> RelayedReply:
        """Decodes a reply.

        Raises:
            ValueError: The data isn't a valid reply.
        """
        head, _, body = data.partition(b"\n")
        fields = json.loads(head)
        if not isinstance(fields, list) or [type(field) for field in fields] != [int, dict, str]:
            raise ValueError("the header line of a relayed reply must hold a status, headers and a leader")
        status, headers, leader = fields
        return RelayedReply(status=status, headers=headers, body=body, leader=leader)


__all__ = ["RelayedReply"]
