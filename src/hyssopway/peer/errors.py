"""Errors of calls between daemons."""

from __future__ import annotations


class PeerUnreachableError(OSError):
    """A daemon cannot be reached, refused the connection or did not answer in time."""


__all__ = ["PeerUnreachableError"]
