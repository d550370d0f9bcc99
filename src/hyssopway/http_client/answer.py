"""Answer to an HTTP request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpAnswer:
    """Answer to an HTTP request.

    Attributes:
        status: HTTP status.
        body: Decoded body.
        keeps_open: Whether the connection may carry another request.
    """

    status: int
    body: bytes
    keeps_open: bool


__all__ = ["HttpAnswer"]
