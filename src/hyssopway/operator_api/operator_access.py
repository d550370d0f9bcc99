"""Authenticates operators and submits their commands to the replicated state."""

from __future__ import annotations

import secrets
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypedDict, TypeVar

from aiohttp import web
from expression import Result

from hyssopway.http import failure_response, json_response, read_json, token_matches
from hyssopway.result import Failure, ResultCode

if TYPE_CHECKING:
    from pydantic import TypeAdapter

    from hyssopway.control.command import OperatorCommand
    from hyssopway.replica import Submitter

Handler = Callable[[web.Request], Awaitable[web.Response]]
B = TypeVar("B")

REQUEST_ID_HEADER = "Idempotency-Key"
OPERATOR_HEADER = "Hyssopway-Operator"
SUBMIT_TIMEOUT_S = 5.0


class RequestMetadata(TypedDict):
    """Fields of a request that every command of an operator includes.

    Attributes:
        request_id: ID of the request; a retry has the same ID.
        operator: Name of the operator.
    """

    request_id: str
    operator: str


class OperatorAccess:
    """Authentication and command submission for all routes of operators.

    All routes share one instance, so that a reloaded token applies to each of them.

    Attributes:
        submitter: Submits commands to the replicated state.
        token: Operator token that requests must present.
    """

    __slots__ = ("submitter", "token")

    def __init__(self, *, submitter: Submitter, token: str) -> None:
        self.submitter = submitter
        self.token = token

    def guard(self, handler: Handler) -> Handler:
        """Returns a handler that refuses requests without the operator token."""

        async def guarded(request: web.Request) -> web.Response:
            if not token_matches(request, token=self.token):
                message = "present the operators' token as a bearer token"
                return failure_response(Failure(code=ResultCode.NOT_OPERATOR, message=message))
            return await handler(request)

        return guarded

    async def change(
        self,
        request: web.Request,
        adapter: TypeAdapter[B],
        build: Callable[[B, RequestMetadata], OperatorCommand],
    ) -> web.Response:
        """Reads a body, submits the command that is built from it and answers with the outcome."""
        match await read_json(request, adapter):
            case Result(tag="ok", ok=body):
                return await self.submit(build(body, read_metadata(request)))
            case Result(error=failure):
                return failure_response(failure)

    async def submit(self, command: OperatorCommand) -> web.Response:
        """Submits a command and answers with the outcome."""
        match await self.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S):
            case Result(tag="ok", ok=outcome):
                return json_response(
                    {"index": outcome.index, "generation": outcome.generation, "reference": outcome.reference}
                )
            case Result(error=failure):
                return failure_response(failure)


def read_metadata(request: web.Request) -> RequestMetadata:
    """Returns the request ID, a random one if the request has none, and the name of the operator."""
    return RequestMetadata(
        request_id=request.headers.get(REQUEST_ID_HEADER) or secrets.token_hex(12),
        operator=request.headers.get(OPERATOR_HEADER, "operator"),
    )


__all__ = ["Handler", "OperatorAccess", "RequestMetadata", "read_metadata"]
