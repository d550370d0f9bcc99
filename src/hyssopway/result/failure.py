"""The error side of every ``expression`` result."""

from __future__ import annotations

from dataclasses import dataclass

from .code import ResultCode
from .work_state import WorkState


@dataclass(frozen=True, slots=True, kw_only=True)
class Failure:
    """Why an operation did not succeed.

    Attributes:
        code: Number of the failure.
        message: What happened and what the caller can do about it.
        work: Whether the requested work ran.
        retry_after_s: Seconds after which a new try makes sense, if known.
    """

    code: ResultCode
    message: str
    work: WorkState = WorkState.NOT_RUN
    retry_after_s: float | None = None


__all__ = ["Failure"]
