"""Error of a request that did not leave the process."""

from __future__ import annotations


class NotSentError(Exception):
    """Nothing of a request was written.

    Attributes:
        is_refused: Whether the host refused the connection, because nothing listens at the port.
    """

    def __init__(self, message: str, *, is_refused: bool = False) -> None:
        super().__init__(message)
        self.is_refused = is_refused


__all__ = ["NotSentError"]
