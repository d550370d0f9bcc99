"""Error that ends a command."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .exit_status import ExitStatus


class CommandError(Exception):
    """Error that ends a command with an exit status and a message on standard error.

    Attributes:
        status: Exit status of the process.
        message: Text printed on standard error.
    """

    def __init__(self, *, status: ExitStatus, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message


__all__ = ["CommandError"]
