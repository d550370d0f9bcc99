"""Errors of calls between daemons."""

from __future__ import annotations


class PeerUnreachableError(OSError):
    """A call to a daemon failed, or the daemon is unreachable, refused the connection or did not reply in time."""


__all__ = ["PeerUnreachableError"]
