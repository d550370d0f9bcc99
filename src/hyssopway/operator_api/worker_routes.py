"""Routes for workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Result
from pydantic import TypeAdapter

from hyssopway.http import failure_response, json_response, read_json, token_matches
from hyssopway.result import Failure, ResultCode
from hyssopway.worker import SyncRequest

if TYPE_CHECKING:
    from aiohttp import web

    from hyssopway.worker import WorkerSessions

_SYNC_REQUEST = TypeAdapter(SyncRequest)


class WorkerRoutes:
    """Lets workers report their state and fetch instructions.

    Attributes:
        sessions: Sessions of the workers whose home is this daemon.
        token: Fleet token that workers must present.
    """

    __slots__ = ("sessions", "token")

    def __init__(self, *, sessions: WorkerSessions, token: str) -> None:
        self.sessions = sessions
        self.token = token

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes to the application."""
        app.router.add_post("/v1/workers/{vm}/sync", self.sync)

    async def sync(self, request: web.Request) -> web.Response:
        """Records the report of a worker and answers with instructions."""
        if not token_matches(request, token=self.token):
            message = "present the fleet token as a bearer token"
            return failure_response(Failure(code=ResultCode.NOT_PERMITTED, message=message))
        match await read_json(request, _SYNC_REQUEST):
            case Result(tag="ok", ok=report):
                pass
            case Result(error=failure):
                return failure_response(failure)
        match await self.sessions.sync(vm=request.match_info["vm"], request=report):
            case Result(tag="ok", ok=reply):
                return json_response(reply)
            case Result(error=failure):
                return failure_response(failure)


__all__ = ["WorkerRoutes"]
