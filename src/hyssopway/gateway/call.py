"""A request that was admitted."""

from __future__ import annotations

from dataclasses import dataclass, replace
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
        earlier: Failure of the first try that may have run.
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
    earlier: Failure | None = None
    answering: bool = False
    caller_gone: bool = False
    tried: frozenset[str] = frozenset()

    def final(self, failure: Failure) -> Failure:
        """Returns the failure that the caller gets after the last try.

        When a further try could not be made, what went wrong at the endpoint says more than the refusal of
        that try, and the request may have run.
        """
        if self.earlier is None or failure.work is not WorkState.NOT_RUN:
            return failure
        return replace(self.earlier, message=f"{self.earlier.message}; no further try: {failure.message}")


__all__ = ["Call"]
