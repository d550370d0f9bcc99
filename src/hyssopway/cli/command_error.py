"""Failure of a command."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .exit_status import ExitStatus


class CommandError(Exception):
    """Ends a command with a message on standard error.

    Attributes:
        status: Exit status.
        message: What went wrong.
    """

    def __init__(self, *, status: ExitStatus, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message


__all__ = ["CommandError"]
