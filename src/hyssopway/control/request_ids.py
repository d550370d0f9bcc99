"""Outcome for a request ID that was used for another change."""

from __future__ import annotations

from hyssopway.result import Failure, Outcome, ResultCode


def refuse_reused_request_id(request_id: str) -> Outcome:
    """Returns the failed outcome for a request ID that an earlier, different change used."""
    message = f"request id {request_id!r} was used for another change; use a new one"
    return Outcome(failure=Failure(code=ResultCode.REQUEST_ID_REUSED, message=message))


__all__ = ["refuse_reused_request_id"]
