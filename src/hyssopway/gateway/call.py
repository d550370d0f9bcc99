"""A request that was admitted."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from hyssopway.result import Failure, WorkState

from .claims import HeldClaim
from .request_body import RequestBody
from .request_records import RequestRecord


@dataclass(slots=True, kw_only=True, eq=False)
class Call:
    """A request on its way to an endpoint.

    Attributes:
        request: Request of the caller.
        service: Service that it is for.
        environment: Environment.
        team: Team of its key; empty without.
        deadline: Local time by which the caller needs the answer.
        body: Its body.
        record: Decisions about it, for operators.
        claim: Claim of a non-idempotent request.
        sending: Whether bytes of the present try went to an endpoint.
        may_have_run: Whether an earlier try may have run.
        answering: Whether the caller has got the first byte of an answer.
        tried: Endpoints that failed an earlier try.
        caller_gone: Whether the caller's connection broke while it got the answer.
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
    may_have_run: bool = False
    answering: bool = False
    caller_gone: bool = False
    tried: frozenset[str] = frozenset()

    def final(self, failure: Failure) -> Failure:
        """Returns a failure with what is known of all tries."""
        if not self.may_have_run or failure.work is not WorkState.NOT_RUN:
            return failure
        return Failure(
            code=failure.code,
            message=f"{failure.message}; an earlier try may have run",
            work=WorkState.MAY_HAVE_RUN,
            retry_after_s=failure.retry_after_s,
        )


__all__ = ["Call"]
