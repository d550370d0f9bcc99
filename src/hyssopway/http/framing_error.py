"""Error in the framing of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.result import ResultCode


class FramingError(Exception):
    """The bytes of a connection are no request within the limits.

    Attributes:
        code: Result code of the response.
    """

    def __init__(self, code: ResultCode, message: str) -> None:
        super().__init__(message)
        self.code = code


__all__ = ["FramingError"]
