"""Error value of ``expression`` results."""

from __future__ import annotations

from dataclasses import dataclass

from .code import ResultCode
from .work_state import WorkState


@dataclass(frozen=True, slots=True, kw_only=True)
class Failure:
    """Reason why an operation failed.

    Attributes:
        code: Result code of the failure.
        message: Description of the failure and of what the caller can do about it.
        work: Whether the requested work has run.
        retry_after_s: Seconds after which a retry may succeed; None if unknown.
    """

    code: ResultCode
    message: str
    work: WorkState = WorkState.NOT_RUN
    retry_after_s: float | None = None


__all__ = ["Failure"]
