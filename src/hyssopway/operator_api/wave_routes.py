"""Routes for operators about maintenance waves."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from pydantic import TypeAdapter

from hyssopway.control.apply.waves import is_active
from hyssopway.control.command import ControlWave, StartWave, WaveAction
from hyssopway.fleet.wave_order import find_deadline_ms, forecast_end_ms, forecast_overrun_ms
from hyssopway.http import failure_response, json_response
from hyssopway.result import Failure, ResultCode

from .fleet_bodies import WaveActionBody, WaveBody

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web

    from hyssopway.control.record import Wave
    from hyssopway.replica import Replica

    from .operator_access import OperatorAccess

_WAVE_BODY = TypeAdapter(WaveBody)
_WAVE_ACTION_BODY = TypeAdapter(WaveActionBody)


class WaveRoutes:
    """Lets operators start, read and control waves.

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
        router.add_post("/v1/waves", guard(self.start))
        router.add_get("/v1/waves", guard(self.list_waves))
        router.add_get("/v1/waves/{wave}", guard(self.show))
        router.add_post("/v1/waves/{wave}/{action:pause|resume|abort}", guard(self.control))

    async def start(self, request: web.Request) -> web.Response:
        """Starts a wave."""
        return await self.access.change(
            request, _WAVE_BODY, lambda body, metadata: StartWave(pools=body.pools, **metadata)
        )

    async def control(self, request: web.Request) -> web.Response:
        """Pauses, resumes or aborts a wave."""
        wave = request.match_info["wave"]
        action = WaveAction(request.match_info["action"])
        return await self.access.change(
            request,
            _WAVE_ACTION_BODY,
            lambda body, metadata: ControlWave(
                wave=wave, action=action, expected_epoch=body.expected_epoch, **metadata
            ),
        )

    async def list_waves(self, request: web.Request) -> web.Response:
        """Lists waves with their progress."""
        waves = self.replica.state.tables.waves.values()
        return json_response({"waves": [self._summarise(wave) for wave in waves]})

    async def show(self, request: web.Request) -> web.Response:
        """Shows a wave with its progress and all its VMs."""
        wave = self.replica.state.tables.waves.get(request.match_info["wave"])
        if wave is None:
            message = f"wave {request.match_info['wave']!r} does not exist"
            return failure_response(Failure(code=ResultCode.UNKNOWN_WAVE, message=message))
        return json_response(self._summarise(wave) | {"vms": wave.vms})

    def _summarise(self, wave: Wave) -> dict[str, Any]:
        end_ms = forecast_end_ms(wave, now_ms=self.now_ms()) if is_active(wave) else None
        return {
            "wave": wave.wave_id,
            "operator": wave.operator,
            "status": wave.status,
            "reason": wave.reason,
            "epoch": wave.epoch,
            "started_ms": wave.started_ms,
            "progress": Counter(vm.status.value for vm in wave.vms.values()),
            "forecast_end_ms": end_ms,
            "due_ms": find_deadline_ms(self.replica.state, wave=wave),
            "late_ms": forecast_overrun_ms(self.replica.state, wave=wave, now_ms=self.now_ms())
            if is_active(wave)
            else 0,
        }


__all__ = ["WaveRoutes"]
