"""Routes for operators about single VMs."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from expression import Result
from pydantic import TypeAdapter

from hyssopway.control.command import DecideDrain, DrainVm, RequestMove, ReturnVm
from hyssopway.fleet.drains import find_overdue
from hyssopway.fleet.zone_report import report_zone
from hyssopway.http import failure_response, json_response, read_json, token_matches
from hyssopway.result import Failure, ResultCode

from .fleet_bodies import DecisionBody, MoveBody, VmBody
from .operator_routes import OPERATOR_HEADER, REQUEST_ID_HEADER, SUBMIT_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web

    from hyssopway.control.command import Command
    from hyssopway.replica import Replica, Submitter

    from .operator_routes import Handler

_VM = TypeAdapter(VmBody)
_MOVE = TypeAdapter(MoveBody)
_DECISION = TypeAdapter(DecisionBody)


class FleetRoutes:
    """Lets operators drain, move and return VMs.

    Attributes:
        replica: Agreed state.
        submitter: Way to the agreed state.
        token: Secret that operators present.
        now_ms: Returns agreed time.
    """

    __slots__ = ("now_ms", "replica", "submitter", "token")

    def __init__(
        self, *, replica: Replica, submitter: Submitter, token: str, now_ms: Callable[[], int]
    ) -> None:
        self.replica = replica
        self.submitter = submitter
        self.token = token
        self.now_ms = now_ms

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes."""
        router = app.router
        router.add_post("/v1/vms/{vm}/drain", self._guard(self.drain))
        router.add_post("/v1/vms/{vm}/return", self._guard(self.return_vm))
        router.add_post("/v1/vms/{vm}/move", self._guard(self.move))
        router.add_post("/v1/vms/{vm}/decision", self._guard(self.decide))
        router.add_get("/v1/zones/{zone}/withdrawal", self._guard(self.show_withdrawal))
        router.add_get("/v1/permits", self._guard(self.list_permits))

    async def drain(self, request: web.Request) -> web.Response:
        """Drains a VM."""
        match await read_json(request, _VM):
            case Result(tag="ok", ok=body):
                request_id, operator, vm = _identify(request)
                return await self._submit(
                    DrainVm(
                        vm=vm, expected_epoch=body.expected_epoch, request_id=request_id, operator=operator
                    )
                )
            case Result(error=failure):
                return failure_response(failure)

    async def return_vm(self, request: web.Request) -> web.Response:
        """Ends a drain or takes a move back."""
        match await read_json(request, _VM):
            case Result(tag="ok", ok=body):
                request_id, operator, vm = _identify(request)
                return await self._submit(
                    ReturnVm(
                        vm=vm, expected_epoch=body.expected_epoch, request_id=request_id, operator=operator
                    )
                )
            case Result(error=failure):
                return failure_response(failure)

    async def move(self, request: web.Request) -> web.Response:
        """Moves a VM to another pool once it is empty."""
        match await read_json(request, _MOVE):
            case Result(tag="ok", ok=body):
                request_id, operator, vm = _identify(request)
                return await self._submit(
                    RequestMove(
                        vm=vm,
                        target=body.target,
                        expected_epoch=body.expected_epoch,
                        request_id=request_id,
                        operator=operator,
                    )
                )
            case Result(error=failure):
                return failure_response(failure)

    async def decide(self, request: web.Request) -> web.Response:
        """Answers the question about a drain that does not end."""
        match await read_json(request, _DECISION):
            case Result(tag="ok", ok=body):
                request_id, operator, vm = _identify(request)
                return await self._submit(
                    DecideDrain(
                        vm=vm,
                        decision=body.decision,
                        expected_epoch=body.expected_epoch,
                        request_id=request_id,
                        operator=operator,
                    )
                )
            case Result(error=failure):
                return failure_response(failure)

    async def show_withdrawal(self, request: web.Request) -> web.Response:
        """Shows what a withdrawal would do, or how far it is."""
        zone = request.match_info["zone"]
        if zone not in self.replica.state.tables.zones:
            message = f"zone {zone!r} does not exist"
            return failure_response(Failure(code=ResultCode.UNKNOWN_ZONE, message=message))
        return json_response(report_zone(self.replica.state, zone=zone))

    async def list_permits(self, request: web.Request) -> web.Response:
        """Lists permits and whether their drain needs a decision."""
        overdue = {permit.vm for permit in find_overdue(self.replica.state, now_ms=self.now_ms())}
        permits = self.replica.state.tables.permits.values()
        return json_response(
            {"permits": [{"permit": permit, "overdue": permit.vm in overdue} for permit in permits]}
        )

    async def _submit(self, command: Command) -> web.Response:
        match await self.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S):
            case Result(tag="ok", ok=outcome):
                return json_response(
                    {"index": outcome.index, "generation": outcome.generation, "reference": outcome.reference}
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


def _identify(request: web.Request) -> tuple[str, str, str]:
    request_id = request.headers.get(REQUEST_ID_HEADER) or secrets.token_hex(12)
    return request_id, request.headers.get(OPERATOR_HEADER, "operator"), request.match_info["vm"]


__all__ = ["FleetRoutes"]
