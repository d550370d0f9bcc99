"""Routes for operators about maintenance waves."""

from __future__ import annotations

import secrets
from collections import Counter
from typing import TYPE_CHECKING, Any

from expression import Result
from pydantic import TypeAdapter

from hyssopway.control.apply.waves import is_under_way
from hyssopway.control.command import ControlWave, StartWave, WaveAction
from hyssopway.fleet.wave_order import find_due_ms, find_late_ms, forecast_end_ms
from hyssopway.http import failure_response, json_response, read_json, token_matches
from hyssopway.result import Failure, ResultCode

from .fleet_bodies import WaveActionBody, WaveBody
from .operator_routes import OPERATOR_HEADER, REQUEST_ID_HEADER, SUBMIT_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web

    from hyssopway.control.command import Command
    from hyssopway.control.record import Wave
    from hyssopway.replica import Replica, Submitter

    from .operator_routes import Handler

_START = TypeAdapter(WaveBody)
_ACTION = TypeAdapter(WaveActionBody)


class WaveRoutes:
    """Lets operators start, read and control waves.

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
        app.router.add_post("/v1/waves", self._guard(self.start))
        app.router.add_get("/v1/waves", self._guard(self.list_waves))
        app.router.add_get("/v1/waves/{wave}", self._guard(self.show))
        app.router.add_post("/v1/waves/{wave}/{action:pause|resume|abort}", self._guard(self.control))

    async def start(self, request: web.Request) -> web.Response:
        """Starts a wave."""
        match await read_json(request, _START):
            case Result(tag="ok", ok=body):
                request_id, operator = _identify(request)
                return await self._submit(
                    StartWave(pools=body.pools, request_id=request_id, operator=operator)
                )
            case Result(error=failure):
                return failure_response(failure)

    async def control(self, request: web.Request) -> web.Response:
        """Pauses, resumes or aborts a wave."""
        match await read_json(request, _ACTION):
            case Result(tag="ok", ok=body):
                request_id, operator = _identify(request)
                return await self._submit(
                    ControlWave(
                        wave=request.match_info["wave"],
                        action=WaveAction(request.match_info["action"]),
                        expected_epoch=body.expected_epoch,
                        request_id=request_id,
                        operator=operator,
                    )
                )
            case Result(error=failure):
                return failure_response(failure)

    async def list_waves(self, request: web.Request) -> web.Response:
        """Lists waves with their progress."""
        waves = self.replica.state.tables.waves.values()
        return json_response({"waves": [self._summarise(wave) for wave in waves]})

    async def show(self, request: web.Request) -> web.Response:
        """Shows a wave with each of its VMs."""
        wave = self.replica.state.tables.waves.get(request.match_info["wave"])
        if wave is None:
            message = f"wave {request.match_info['wave']!r} does not exist"
            return failure_response(Failure(code=ResultCode.UNKNOWN_WAVE, message=message))
        return json_response(self._summarise(wave) | {"vms": wave.vms})

    def _summarise(self, wave: Wave) -> dict[str, Any]:
        end_ms = forecast_end_ms(wave, now_ms=self.now_ms()) if is_under_way(wave) else None
        return {
            "wave": wave.wave_id,
            "operator": wave.operator,
            "status": wave.status,
            "reason": wave.reason,
            "epoch": wave.epoch,
            "started_ms": wave.started_ms,
            "progress": Counter(vm.status.value for vm in wave.vms.values()),
            "forecast_end_ms": end_ms,
            "due_ms": find_due_ms(self.replica.state, wave=wave),
            "late_ms": find_late_ms(self.replica.state, wave=wave, now_ms=self.now_ms())
            if is_under_way(wave)
            else 0,
        }

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


def _identify(request: web.Request) -> tuple[str, str]:
    request_id = request.headers.get(REQUEST_ID_HEADER) or secrets.token_hex(12)
    return request_id, request.headers.get(OPERATOR_HEADER, "operator")


__all__ = ["WaveRoutes"]
