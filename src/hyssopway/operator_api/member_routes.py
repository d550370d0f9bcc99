"""Routes for operators who replace control members."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, Literal, Protocol

from expression import Error, Ok, Result
from pydantic import TypeAdapter

from hyssopway.control.command import RequestMemberChange
from hyssopway.event import Event, log_event
from hyssopway.http import failure_response, json_response, read_json
from hyssopway.result import Failure, ResultCode

from .operator_access import SUBMIT_TIMEOUT_S, identify

if TYPE_CHECKING:
    from aiohttp import web

    from hyssopway.control.record import StoredOutcome
    from hyssopway.replica import Replica

    from .operator_access import Identity, OperatorAccess

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

    async def resolve(self, *, action: str, member: str, timeout_s: float) -> Result[str, Failure]:
        """Returns the id of the member that a name means."""
        ...

    async def change(self, *, action: str, member_id: str, timeout_s: float) -> Result[Any, Failure]:
        """Changes one member."""
        ...


_MEMBER = TypeAdapter(MemberBody)


class MemberRoutes:
    """Lets operators read and change the control members.

    A change may be sent again with its request id; it then means the member that the first one meant.

    Attributes:
        members: Way to the leader.
        replica: Agreed state.
        access: Check of operators.
    """

    __slots__ = ("access", "members", "replica")

    def __init__(self, *, members: MemberChanges, replica: Replica, access: OperatorAccess) -> None:
        self.members = members
        self.replica = replica
        self.access = access

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes."""
        app.router.add_get("/v1/members", self.access.guard(self.list_members))
        app.router.add_post("/v1/members", self.access.guard(self.change_members))

    async def list_members(self, request: web.Request) -> web.Response:
        """Lists members, and daemons that wait to be added."""
        return _answer(await self.members.list_members(timeout_s=TIMEOUT_S))

    async def change_members(self, request: web.Request) -> web.Response:
        """Adds a learner, promotes or removes a member."""
        match await read_json(request, _MEMBER):
            case Result(tag="ok", ok=body):
                return _answer(await self._change(body, by=identify(request)))
            case Result(error=failure):
                return failure_response(failure)

    async def _change(self, body: MemberBody, *, by: Identity) -> Result[Any, Failure]:
        log_event(Event.MEMBER_CHANGE_ASKED, operator=by["operator"], action=body.action, member=body.member)
        match await self._find_member(body, request_id=by["request_id"]):
            case Result(tag="ok", ok=member_id):
                pass
            case Result(error=failure):
                return Error(failure)
        asked = RequestMemberChange(action=body.action, member=body.member, member_id=member_id, **by)
        done = replace(asked, request_id=f"{asked.request_id}/done", done=True)
        resent = asked.request_id in self._outcomes()
        match await self.access.submitter.submit(asked, timeout_s=SUBMIT_TIMEOUT_S):
            case Result(error=Failure() as failure):
                return Error(failure)
        if done.request_id in self._outcomes():
            return Ok({"member": member_id})
        changed = await self.members.change(action=body.action, member_id=member_id, timeout_s=TIMEOUT_S)
        if resent and changed.is_error() and changed.error.code is ResultCode.UNKNOWN_MEMBER:
            # An earlier try removed it and its answer was lost.
            changed = Ok({"member": member_id})
        if changed.is_ok():
            # Without this record a resend makes the same change to the same member again.
            await self.access.submitter.submit(done, timeout_s=SUBMIT_TIMEOUT_S)
        return changed

    async def _find_member(self, body: MemberBody, *, request_id: str) -> Result[str, Failure]:
        stored = self._outcomes().get(request_id)
        if stored is not None:
            return Ok(stored.outcome.reference)
        return await self.members.resolve(action=body.action, member=body.member, timeout_s=TIMEOUT_S)

    def _outcomes(self) -> dict[str, StoredOutcome]:
        return self.replica.state.tables.outcomes


def _answer(result: Result[Any, Failure]) -> web.Response:
    match result:
        case Result(tag="ok", ok=found):
            return json_response(found)
        case Result(error=failure):
            return failure_response(failure)


__all__ = ["MemberRoutes"]
