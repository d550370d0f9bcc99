"""Request that a node relays to the leader."""

from __future__ import annotations

import json
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayedRequest:
    """Parts of an HTTP request that the leader needs.

    Attributes:
        entry: Listener that received the request, `callers` or `control`.
        method: HTTP method.
        path: URL path without the query.
        host: Requested host name.
        credential: Value of the Authorization header; empty without one.
        body: HTTP request body.
        confirm_token: Token of the leader's last answer, if it asked to confirm that the caller still waits.
    """

    entry: str
    method: str
    path: str
    host: str
    credential: str
    body: bytes
    confirm_token: str = ""

    def encode(self) -> bytes:
        """Encodes the request as one line of JSON followed by the body."""
        head = [self.entry, self.method, self.path, self.host, self.credential]
        if self.confirm_token:
            head.append(self.confirm_token)
        return json.dumps(head).encode() + b"\n" + self.body

    @staticmethod
    def decode(data: bytes) -> RelayedRequest:
        """Decodes a request.

        Raises:
            ValueError: The data isn't a valid request.
        """
        head, _, body = data.partition(b"\n")
        fields = json.loads(head)
        if not isinstance(fields, list) or not all(isinstance(field, str) for field in fields):
            raise ValueError("the header line of a relayed request must be a list of strings")
        entry, method, path, host, credential, *rest = fields
        if len(rest) > 1:
            raise ValueError("the header line of a relayed request has too many fields")
        return RelayedRequest(
            entry=entry,
            method=method,
            path=path,
            host=host,
            credential=credential,
            body=body,
            confirm_token="".join(rest),
        )


__all__ = ["RelayedRequest"]
