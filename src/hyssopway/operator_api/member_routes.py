"""Routes for operators that list and change control members."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, Literal, Protocol

from expression import Error, Ok, Result
from pydantic import TypeAdapter

from hyssopway.control.command import RequestMemberChange
from hyssopway.event import Event, log_event
from hyssopway.http import failure_response, json_response, read_json
from hyssopway.result import Failure, ResultCode

from .operator_access import SUBMIT_TIMEOUT_S, read_metadata

if TYPE_CHECKING:
    from aiohttp import web

    from hyssopway.control.record import StoredOutcome
    from hyssopway.replica import Replica

    from .operator_access import OperatorAccess, RequestMetadata

LEADER_TIMEOUT_S = 8.0


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberBody:
    """Adds, promotes or removes one control member.

    Attributes:
        action: Action on the member.
        member: ID of the member, or name of its daemon.
    """

    action: Literal["add", "promote", "remove"]
    member: str


class MembershipService(Protocol):
    """Lists and changes control members through the leader."""

    async def list_members(self, *, timeout_s: float) -> Result[Any, Failure]:
        """Returns the members, and running members that are not added yet."""
        ...

    async def resolve(self, *, action: str, member: str, timeout_s: float) -> Result[str, Failure]:
        """Returns the ID of a member that is given by its ID or its daemon."""
        ...

    async def change(self, *, action: str, member_id: str, timeout_s: float) -> Result[Any, Failure]:
        """Adds, promotes or removes one member."""
        ...


_MEMBER_BODY = TypeAdapter(MemberBody)


class MemberRoutes:
    """Lets operators read and change the control members.

    A change may be retried with the same request ID; it then applies to the same member ID as the first
    request.

    Attributes:
        membership: Lists and changes members through the leader.
        replica: Local copy of the replicated state.
        access: Authenticates operators and submits their commands.
    """

    __slots__ = ("access", "membership", "replica")

    def __init__(self, *, membership: MembershipService, replica: Replica, access: OperatorAccess) -> None:
        self.membership = membership
        self.replica = replica
        self.access = access

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes to the application."""
        app.router.add_get("/v1/members", self.access.guard(self.list_members))
        app.router.add_post("/v1/members", self.access.guard(self.change_members))

    async def list_members(self, request: web.Request) -> web.Response:
        """Lists members, and running members that are not added yet."""
        return _to_response(await self.membership.list_members(timeout_s=LEADER_TIMEOUT_S))

    async def change_members(self, request: web.Request) -> web.Response:
        """Adds a learner, promotes or removes a member."""
        match await read_json(request, _MEMBER_BODY):
            case Result(tag="ok", ok=body):
                return _to_response(await self._change(body, metadata=read_metadata(request)))
            case Result(error=failure):
                return failure_response(failure)

    async def _change(self, body: MemberBody, *, metadata: RequestMetadata) -> Result[Any, Failure]:
        log_event(
            Event.MEMBER_CHANGE_ASKED, operator=metadata["operator"], action=body.action, member=body.member
        )
        match await self._find_member(body, request_id=metadata["request_id"]):
            case Result(tag="ok", ok=member_id):
                pass
            case Result(error=failure):
                return Error(failure)
        asked = RequestMemberChange(action=body.action, member=body.member, member_id=member_id, **metadata)
        done = replace(asked, request_id=f"{asked.request_id}/done", done=True)
        is_retry = asked.request_id in self._stored_outcomes()
        match await self.access.submitter.submit(asked, timeout_s=SUBMIT_TIMEOUT_S):
            case Result(error=Failure() as failure):
                return Error(failure)
        if done.request_id in self._stored_outcomes():
            return Ok({"member": member_id})
        changed = await self.membership.change(
            action=body.action, member_id=member_id, timeout_s=LEADER_TIMEOUT_S
        )
        if is_retry and changed.is_error() and changed.error.code is ResultCode.UNKNOWN_MEMBER:
            # An earlier attempt removed the member and its answer was lost.
            changed = Ok({"member": member_id})
        if changed.is_ok():
            # Without this record, a retry would make the same change to the same member again.
            await self.access.submitter.submit(done, timeout_s=SUBMIT_TIMEOUT_S)
        return changed

    async def _find_member(self, body: MemberBody, *, request_id: str) -> Result[str, Failure]:
        stored = self._stored_outcomes().get(request_id)
        if stored is not None:
            return Ok(stored.outcome.reference)
        return await self.membership.resolve(
            action=body.action, member=body.member, timeout_s=LEADER_TIMEOUT_S
        )

    def _stored_outcomes(self) -> dict[str, StoredOutcome]:
        return self.replica.state.tables.outcomes


def _to_response(result: Result[Any, Failure]) -> web.Response:
    match result:
        case Result(tag="ok", ok=found):
            return json_response(found)
        case Result(error=failure):
            return failure_response(failure)


__all__ = ["MemberRoutes"]
