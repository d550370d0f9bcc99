"""Builds the error result of a command that is refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error, Result

from hyssopway.result import Failure, WorkState

if TYPE_CHECKING:
    from hyssopway.control.change import Change
    from hyssopway.result import ResultCode


def refuse(code: ResultCode, message: str, *, work: WorkState = WorkState.NOT_RUN) -> Result[Change, Failure]:
    """Returns the error result of a command that is refused."""
    return Error(Failure(code=code, message=message, work=work))


__all__ = ["refuse"]
