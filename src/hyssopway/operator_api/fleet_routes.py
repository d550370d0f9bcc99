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

_VM = TypeAdapter(VmBody)
_MOVE = TypeAdapter(MoveBody)
_DECISION = TypeAdapter(DecisionBody)


class FleetRoutes:
    """Lets operators drain, move and return VMs.

    Attributes:
        replica: Agreed state.
        access: Check of operators and way to the agreed state.
        now_ms: Returns agreed time.
    """

    __slots__ = ("access", "now_ms", "replica")

    def __init__(self, *, replica: Replica, access: OperatorAccess, now_ms: Callable[[], int]) -> None:
        self.replica = replica
        self.access = access
        self.now_ms = now_ms

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes."""
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
            request, _VM, lambda body, by: DrainVm(vm=vm, expected_epoch=body.expected_epoch, **by)
        )

    async def return_vm(self, request: web.Request) -> web.Response:
        """Ends a drain or takes a move back."""
        vm = request.match_info["vm"]
        return await self.access.change(
            request, _VM, lambda body, by: ReturnVm(vm=vm, expected_epoch=body.expected_epoch, **by)
        )

    async def move(self, request: web.Request) -> web.Response:
        """Moves a VM to another pool once it is empty."""
        vm = request.match_info["vm"]
        return await self.access.change(
            request,
            _MOVE,
            lambda body, by: RequestMove(vm=vm, target=body.target, expected_epoch=body.expected_epoch, **by),
        )

    async def decide(self, request: web.Request) -> web.Response:
        """Answers the question about a drain that does not end."""
        vm = request.match_info["vm"]
        return await self.access.change(
            request,
            _DECISION,
            lambda body, by: DecideDrain(
                vm=vm, decision=body.decision, expected_epoch=body.expected_epoch, **by
            ),
        )

    async def show_withdrawal(self, request: web.Request) -> web.Response:
        """Shows what a withdrawal would do, or how far it is."""
        zone = request.match_info["zone"]
        if zone not in self.replica.state.tables.zones:
            message = f"zone {zone!r} does not exist"
            return failure_response(Failure(code=ResultCode.UNKNOWN_ZONE, message=message))
        return json_response(report_zone(self.replica.state, zone=zone))

    async def list_permits(self, request: web.Request) -> web.Response:
        """Lists permits and whether their drain needs a decision."""
        overdue = {permit.vm for permit in find_overdue_drains(self.replica.state, now_ms=self.now_ms())}
        permits = self.replica.state.tables.permits.values()
        return json_response(
            {"permits": [{"permit": permit, "overdue": permit.vm in overdue} for permit in permits]}
        )


__all__ = ["FleetRoutes"]
