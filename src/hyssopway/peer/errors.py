"""Errors of calls between daemons."""

from __future__ import annotations


class PeerUnreachableError(OSError):
    """A call to a daemon failed, or the daemon is unreachable, refused the connection or did not reply in time.

    Attributes:
        is_sent: Whether a part of the call may have reached the daemon, so that it may have been carried out.
    """

    def __init__(self, message: str, *, is_sent: bool = True) -> None:
        super().__init__(message)
        self.is_sent = is_sent


__all__ = ["PeerUnreachableError"]
