"""Answer to a request id that was used for something else."""

from __future__ import annotations

from hyssopway.result import Failure, ResultCode

from .outcome import Outcome


def refuse_reused_request_id(request_id: str) -> Outcome:
    """Returns the refusal of a request id that came with another change before."""
    message = f"request id {request_id!r} was used for another change; use a new one"
    return Outcome(failure=Failure(code=ResultCode.REQUEST_ID_REUSED, message=message))


__all__ = ["refuse_reused_request_id"]
