"""Routes for endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Result
from pydantic import TypeAdapter

from hyssopway.endpoint import ENDPOINT_LEASE_S, Announcement
from hyssopway.http import failure_response, json_response, read_json, token_matches
from hyssopway.result import Failure, ResultCode

if TYPE_CHECKING:
    from aiohttp import web

    from hyssopway.endpoint import EndpointRegistry

_ANNOUNCEMENT = TypeAdapter(Announcement)


class EndpointRoutes:
    """Lets endpoints announce themselves, renew their leases and leave.

    Attributes:
        registry: Endpoints whose home is this daemon.
        token: Fleet token that endpoints must present.
    """

    __slots__ = ("registry", "token")

    def __init__(self, *, registry: EndpointRegistry, token: str) -> None:
        self.registry = registry
        self.token = token

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes to the application."""
        app.router.add_put("/v1/endpoints/{name}", self.announce)
        app.router.add_delete("/v1/endpoints/{name}", self.leave)

    async def announce(self, request: web.Request) -> web.Response:
        """Adds an endpoint or renews its lease."""
        if not token_matches(request, token=self.token):
            return failure_response(_wrong_token())
        match await read_json(request, _ANNOUNCEMENT):
            case Result(tag="ok", ok=announcement):
                self.registry.announce(name=request.match_info["name"], announcement=announcement)
                return json_response({"lease_s": ENDPOINT_LEASE_S, "renew_s": ENDPOINT_LEASE_S / 4})
            case Result(error=failure):
                return failure_response(failure)

    async def leave(self, request: web.Request) -> web.Response:
        """Removes an endpoint."""
        if not token_matches(request, token=self.token):
            return failure_response(_wrong_token())
        self.registry.remove(name=request.match_info["name"], reason="left")
        return json_response({})


def _wrong_token() -> Failure:
    return Failure(code=ResultCode.NOT_PERMITTED, message="present the fleet token as a bearer token")


__all__ = ["EndpointRoutes"]
