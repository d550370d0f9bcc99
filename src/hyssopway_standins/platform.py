"""A platform: drains, reboots and returns VMs, and fails as platforms do."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from aiohttp import web

from hyssopway.http import json_response
from hyssopway.platform import PlatformAction, PlatformState, PlatformVm

_AFTER = {
    PlatformAction.DRAIN: PlatformState.DRAINED,
    PlatformAction.REBOOT: PlatformState.DRAINED,
    PlatformAction.RETURN: PlatformState.SERVING,
}


class PlatformFault(StrEnum):
    """How the platform treats an operation."""

    FALSE_SUCCESS = "says_done"
    NO_RESPONSE = "never_answers"
    LATE_RESPONSE = "answers_late"
    EXECUTED_TWICE = "twice"
    FALSELY_HEALTHY = "falsely_healthy"
    SERVER_ERROR = "breaks"


@dataclass(slots=True, kw_only=True)
class SimulatedVm:
    """What really happened to a VM.

    Attributes:
        state: State.
        works: Whether work on the VM succeeds; reported health may differ.
        done: Effects by operation id; more than 1 is an operation done twice.
        operations: Completed operation ids.
        posts: Operations asked for, repeats included.
    """

    state: PlatformState = PlatformState.SERVING
    works: bool = True
    done: Counter[str] = field(default_factory=Counter)
    operations: list[str] = field(default_factory=list)
    posts: int = 0


@dataclass(slots=True, kw_only=True)
class PlatformStandIn:
    """The platform's API with faults; truth is counted here.

    Attributes:
        vms: Truth by VM.
        faults: Faults of the next operations by VM; each is used once.
        late_s: Delay of a late answer.
        act_s: Time that an operation takes.
        on_reboot: Called with a VM when it reboots, so that its worker restarts.
    """

    vms: dict[str, SimulatedVm]
    faults: dict[str, list[PlatformFault]] = field(default_factory=dict)
    late_s: float = 1.0
    act_s: float = 0.0
    on_reboot: Callable[[str], None] = lambda _: None
    url: str = ""
    runner: web.AppRunner | None = None

    async def start(self, *, host: str = "127.0.0.1") -> None:
        """Listens on a port picked by the kernel."""
        app = web.Application()
        app.router.add_get("/vms", self.list_vms)
        app.router.add_get("/vms/{vm}", self.read_vm)
        app.router.add_post("/vms/{vm}/{action}", self.operate)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, host, 0)
        await site.start()
        self.url = f"http://{host}:{self.runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Stops listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def list_vms(self, request: web.Request) -> web.Response:
        """Lists all VMs."""
        return json_response([self._show(name) for name in sorted(self.vms)])

    async def read_vm(self, request: web.Request) -> web.Response:
        """Shows one VM."""
        name = request.match_info["vm"]
        return json_response(self._show(name)) if name in self.vms else json_response({}, status=404)

    async def operate(self, request: web.Request) -> web.Response:
        """Takes an operation."""
        name = request.match_info["vm"]
        if name not in self.vms or request.match_info["action"] not in list(PlatformAction):
            return json_response({}, status=404)
        action = PlatformAction(request.match_info["action"])
        operation_id = str((await request.json())["operation_id"])
        waiting = self.faults.get(name)
        fault = waiting.pop(0) if waiting else None
        self.vms[name].posts += 1
        await asyncio.sleep(self.act_s)
        return await self._answer(name, action=action, operation_id=operation_id, fault=fault)

    async def _answer(
        self, name: str, *, action: PlatformAction, operation_id: str, fault: PlatformFault | None
    ) -> web.Response:
        match fault:
            case PlatformFault.FALSE_SUCCESS:
                return json_response(self._show(name))
            case PlatformFault.SERVER_ERROR:
                return json_response({}, status=500)
            case PlatformFault.NO_RESPONSE:
                self._act(name, action=action, operation_id=operation_id)
                await asyncio.sleep(60.0)
            case PlatformFault.LATE_RESPONSE:
                await asyncio.sleep(self.late_s)
            case PlatformFault.EXECUTED_TWICE:
                self._act(name, action=action, operation_id=operation_id)
                self.vms[name].operations.remove(operation_id)
            case PlatformFault.FALSELY_HEALTHY:
                self.vms[name].works = False
        self._act(name, action=action, operation_id=operation_id)
        return json_response(self._show(name))

    def _act(self, name: str, *, action: PlatformAction, operation_id: str) -> None:
        truth = self.vms[name]
        if operation_id in truth.operations:
            return
        truth.operations.append(operation_id)
        truth.done[operation_id] += 1
        truth.state = _AFTER[action]
        if action is PlatformAction.REBOOT:
            self.on_reboot(name)

    def _show(self, name: str) -> PlatformVm:
        truth = self.vms[name]
        return PlatformVm(name=name, state=truth.state, healthy=True, operations=truth.operations[-20:])


__all__ = ["PlatformFault", "PlatformStandIn", "SimulatedVm"]
