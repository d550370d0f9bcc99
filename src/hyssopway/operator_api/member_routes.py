"""Routes for operators who replace control members."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Literal, Protocol

from aiohttp import web
from expression import Result
from pydantic import TypeAdapter

from hyssopway.event import Event, log_event
from hyssopway.http import failure_response, json_response, read_json, token_matches
from hyssopway.result import Failure, ResultCode

Handler = Callable[[web.Request], Awaitable[web.Response]]

OPERATOR_HEADER = "Hyssopway-Operator"
TIMEOUT_S = 8.0


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberBody:
    """Changes the control members by one.

    Attributes:
        action: What happens to the member.
        member: Id of the member, or name of its daemon.
    """

    action: Literal["add", "promote", "remove"]
    member: str


class MemberChanges(Protocol):
    """Way to the leader of the control members."""

    async def list_members(self, *, timeout_s: float) -> Result[Any, Failure]:
        """Returns the members."""
        ...

    async def change(self, *, action: str, member: str, timeout_s: float) -> Result[Any, Failure]:
        """Changes one member."""
        ...


_MEMBER = TypeAdapter(MemberBody)


class MemberRoutes:
    """Lets operators read and change the control members.

    A change may be sent again: adding a learner or promoting a voter that is there already changes nothing.

    Attributes:
        members: Way to the leader.
        token: Secret that operators present.
    """

    __slots__ = ("members", "token")

    def __init__(self, *, members: MemberChanges, token: str) -> None:
        self.members = members
        self.token = token

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes."""
        app.router.add_get("/v1/members", self._guard(self.list_members))
        app.router.add_post("/v1/members", self._guard(self.change_members))

    async def list_members(self, request: web.Request) -> web.Response:
        """Lists members, and daemons that wait to be added."""
        return _answer(await self.members.list_members(timeout_s=TIMEOUT_S))

    async def change_members(self, request: web.Request) -> web.Response:
        """Adds a learner, promotes or removes a member."""
        match await read_json(request, _MEMBER):
            case Result(tag="ok", ok=body):
                operator = request.headers.get(OPERATOR_HEADER, "operator")
                log_event(
                    Event.MEMBER_CHANGE_ASKED, operator=operator, action=body.action, member=body.member
                )
                return _answer(
                    await self.members.change(action=body.action, member=body.member, timeout_s=TIMEOUT_S)
                )
            case Result(error=failure):
                return failure_response(failure)

    def _guard(self, handler: Handler) -> Handler:
        async def guarded(request: web.Request) -> web.Response:
            if not token_matches(request, token=self.token):
                message = "present the operators' token as a bearer token"
                return failure_response(Failure(code=ResultCode.NOT_OPERATOR, message=message))
            return await handler(request)

        return guarded


def _answer(result: Result[Any, Failure]) -> web.Response:
    match result:
        case Result(tag="ok", ok=found):
            return json_response(found)
        case Result(error=failure):
            return failure_response(failure)


__all__ = ["MemberRoutes"]
