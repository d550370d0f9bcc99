"""A request that one node passes to the leader."""

from __future__ import annotations

import json
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayedRequest:
    """An HTTP request as the leader needs it.

    Attributes:
        entry: Kind of listener that took it, `callers` or `control`.
        method: HTTP method.
        path: Path without query.
        host: Host name that was called.
        credential: Value of the authorization header; empty for none.
        body: Body.
    """

    entry: str
    method: str
    path: str
    host: str
    credential: str
    body: bytes

    def encode(self) -> bytes:
        """Encodes the request: one line of JSON, then the body."""
        head = [self.entry, self.method, self.path, self.host, self.credential]
        return json.dumps(head).encode() + b"\n" + self.body

    @staticmethod
    def decode(data: bytes) -> RelayedRequest:
        """Decodes a request.

        Raises:
            ValueError: The data are no request.
        """
        head, _, body = data.partition(b"\n")
        fields = json.loads(head)
        if not isinstance(fields, list) or not all(isinstance(field, str) for field in fields):
            raise ValueError("the head of a request is a list of texts")
        entry, method, path, host, credential = fields
        return RelayedRequest(
            entry=entry, method=method, path=path, host=host, credential=credential, body=body
        )


__all__ = ["RelayedRequest"]
