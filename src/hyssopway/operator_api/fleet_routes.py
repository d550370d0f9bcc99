"""Routes for operators about single VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import TypeAdapter

from hyssopway.control.command import DecideDrain, DrainVm, RequestMove, ReturnVm
from hyssopway.fleet.drains import find_overdue_drains
from hyssopway.fleet.zone_report import report_zone
from hyssopway.http import failure_response, json_response
from hyssopway.result import Failure, ResultCode

from .fleet_bodies import DecisionBody, MoveBody, VmBody

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web

    from hyssopway.replica import Replica

    from .operator_access import OperatorAccess

_VM_BODY = TypeAdapter(VmBody)
_MOVE_BODY = TypeAdapter(MoveBody)
_DECISION_BODY = TypeAdapter(DecisionBody)


class FleetRoutes:
    """Lets operators drain, move and return VMs.

    Attributes:
        replica: Local copy of the replicated state.
        access: Authenticates operators and submits their commands.
        now_ms: Returns the cluster time in milliseconds.
    """

    __slots__ = ("access", "now_ms", "replica")

    def __init__(self, *, replica: Replica, access: OperatorAccess, now_ms: Callable[[], int]) -> None:
        self.replica = replica
        self.access = access
        self.now_ms = now_ms

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes to the application."""
        router, guard = app.router, self.access.guard
        router.add_post("/v1/vms/{vm}/drain", guard(self.drain))
        router.add_post("/v1/vms/{vm}/return", guard(self.return_vm))
        router.add_post("/v1/vms/{vm}/move", guard(self.move))
        router.add_post("/v1/vms/{vm}/decision", guard(self.decide))
        router.add_get("/v1/zones/{zone}/withdrawal", guard(self.show_withdrawal))
        router.add_get("/v1/permits", guard(self.list_permits))

    async def drain(self, request: web.Request) -> web.Response:
        """Drains a VM."""
        vm = request.match_info["vm"]
        return await self.access.change(
            request,
            _VM_BODY,
            lambda body, metadata: DrainVm(vm=vm, expected_epoch=body.expected_epoch, **metadata),
        )

    async def return_vm(self, request: web.Request) -> web.Response:
        """Ends a drain or cancels a move."""
        vm = request.match_info["vm"]
        return await self.access.change(
            request,
            _VM_BODY,
            lambda body, metadata: ReturnVm(vm=vm, expected_epoch=body.expected_epoch, **metadata),
        )

    async def move(self, request: web.Request) -> web.Response:
        """Moves a VM to another pool once it is empty."""
        vm = request.match_info["vm"]
        return await self.access.change(
            request,
            _MOVE_BODY,
            lambda body, metadata: RequestMove(
                vm=vm, target=body.target, expected_epoch=body.expected_epoch, **metadata
            ),
        )

    async def decide(self, request: web.Request) -> web.Response:
        """Records the operator's decision about an overdue drain."""
        vm = request.match_info["vm"]
        return await self.access.change(
            request,
            _DECISION_BODY,
            lambda body, metadata: DecideDrain(
                vm=vm, decision=body.decision, expected_epoch=body.expected_epoch, **metadata
            ),
        )

    async def show_withdrawal(self, request: web.Request) -> web.Response:
        """Shows the expected effect of a withdrawal, or its progress."""
        zone = request.match_info["zone"]
        if zone not in self.replica.state.tables.zones:
            message = f"zone {zone!r} does not exist"
            return failure_response(Failure(code=ResultCode.UNKNOWN_ZONE, message=message))
        return json_response(report_zone(self.replica.state, zone=zone))

    async def list_permits(self, request: web.Request) -> web.Response:
        """Lists permits and whether their drain is overdue."""
        overdue = {permit.vm for permit in find_overdue_drains(self.replica.state, now_ms=self.now_ms())}
        permits = self.replica.state.tables.permits.values()
        return json_response(
            {"permits": [{"permit": permit, "overdue": permit.vm in overdue} for permit in permits]}
        )


__all__ = ["FleetRoutes"]
