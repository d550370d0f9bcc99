"""State of an admitted request."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from hyssopway.result import Failure, WorkState

from .claims import HeldClaim
from .request_body import RequestBody
from .request_records import RequestRecord


@dataclass(slots=True, kw_only=True, eq=False)
class Call:
    """An admitted request and the state of its attempts.

    Attributes:
        request: HTTP request of the caller.
        service: Requested service, as defined in the document.
        environment: Name of the environment.
        team: Team of the request's key; empty without a key.
        deadline: Local time in seconds by which the caller needs the response.
        body: Request body.
        record: Record of the request for operators.
        claim: Claim of a non-idempotent request.
        sending: Whether bytes of the current attempt were sent to an endpoint.
        earlier: Failure of the first attempt that may have run.
        answering: Whether a response is being streamed to the caller.
        tried: Endpoints that failed an earlier attempt.
        failed_while_running: Number of attempts that may have run and ended because their endpoint failed.
        caller_gone: Whether the caller disconnected or stopped reading during the response.
    """

    request: Any
    service: Any
    environment: str
    team: str
    deadline: float
    body: RequestBody
    record: RequestRecord
    claim: HeldClaim | None = None
    sending: bool = False
    earlier: Failure | None = None
    answering: bool = False
    caller_gone: bool = False
    tried: frozenset[str] = frozenset()
    failed_while_running: int = 0

    def final_failure(self, failure: Failure) -> Failure:
        """Returns the failure to report to the caller after the last attempt.

        If a further attempt was rejected before it ran, the earlier failure at the endpoint is reported,
        because it is more informative and the request may have run.
        """
        if self.earlier is None or failure.work is not WorkState.NOT_RUN:
            return failure
        return replace(self.earlier, message=f"{self.earlier.message}; not retried: {failure.message}")


__all__ = ["Call"]
