"""Checks who asks for an operator's route, and brings changes of operators to the agreed state."""

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


class Identity(TypedDict):
    """Fields that every change of an operator carries.

    Attributes:
        request_id: Identity of the request over resends.
        operator: Who asked.
    """

    request_id: str
    operator: str


class OperatorAccess:
    """What all routes of operators share; one instance serves them all, so a new token counts on each.

    Attributes:
        submitter: Way to the agreed state.
        token: Secret that operators present.
    """

    __slots__ = ("submitter", "token")

    def __init__(self, *, submitter: Submitter, token: str) -> None:
        self.submitter = submitter
        self.token = token

    def guard(self, handler: Handler) -> Handler:
        """Lets only operators reach a handler."""

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
        build: Callable[[B, Identity], OperatorCommand],
    ) -> web.Response:
        """Reads a body, submits the command made of it and answers with the outcome."""
        match await read_json(request, adapter):
            case Result(tag="ok", ok=body):
                return await self.submit(build(body, identify(request)))
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


def identify(request: web.Request) -> Identity:
    """Returns the request id, a new one when there is none, and the name of the operator."""
    return Identity(
        request_id=request.headers.get(REQUEST_ID_HEADER) or secrets.token_hex(12),
        operator=request.headers.get(OPERATOR_HEADER, "operator"),
    )


__all__ = ["Handler", "Identity", "OperatorAccess", "identify"]
