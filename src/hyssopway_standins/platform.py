"""Stand-in for the platform API: drains, reboots and returns VMs, and injects faults."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from aiohttp import web

from hyssopway.http import json_response
from hyssopway.platform import PlatformAction, PlatformState, PlatformVm

_RESULTING_STATES = {
    PlatformAction.DRAIN: PlatformState.DRAINED,
    PlatformAction.REBOOT: PlatformState.DRAINED,
    PlatformAction.RETURN: PlatformState.SERVING,
}


class PlatformFault(StrEnum):
    """Fault that the platform injects into an operation.

    FALSE_SUCCESS responds with success and SERVER_ERROR with HTTP 500, both without executing the operation;
    NO_RESPONSE executes it and responds only after 60 s; LATE_RESPONSE executes it after a delay; EXECUTED_TWICE
    executes it twice; FALSELY_HEALTHY executes it, but work on the VM fails from then on.
    """

    FALSE_SUCCESS = "says_done"
    NO_RESPONSE = "never_answers"
    LATE_RESPONSE = "answers_late"
    EXECUTED_TWICE = "twice"
    FALSELY_HEALTHY = "falsely_healthy"
    SERVER_ERROR = "breaks"


@dataclass(slots=True, kw_only=True)
class SimulatedVm:
    """Actual state of a VM, which the API may report wrongly.

    Attributes:
        state: State.
        works: Whether work on the VM succeeds; the reported health is always good.
        done: Number of executions by operation ID; more than 1 means that an operation was repeated.
        operations: IDs of completed operations.
        posts: Number of requested operations, including retries.
    """

    state: PlatformState = PlatformState.SERVING
    works: bool = True
    done: Counter[str] = field(default_factory=Counter)
    operations: list[str] = field(default_factory=list)
    posts: int = 0


@dataclass(slots=True, kw_only=True)
class PlatformStandIn:
    """HTTP server with the platform API; it injects faults and records the actual state of VMs.

    Attributes:
        vms: Actual state by VM name.
        faults: Faults of the next operations by VM; each one applies to one operation.
        late_s: Delay of a late response.
        operation_s: Duration of an operation.
        on_reboot: Callback with the name of a rebooted VM, used to restart its worker.
    """

    vms: dict[str, SimulatedVm]
    faults: dict[str, list[PlatformFault]] = field(default_factory=dict)
    late_s: float = 1.0
    operation_s: float = 0.0
    on_reboot: Callable[[str], None] = lambda _: None
    url: str = ""
    runner: web.AppRunner | None = None

    async def start(self, *, host: str = "127.0.0.1") -> None:
        """Starts the HTTP server on a free port that the kernel assigns."""
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
        """Stops the HTTP server."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def list_vms(self, request: web.Request) -> web.Response:
        """Lists all VMs."""
        return json_response([self._describe_vm(name) for name in sorted(self.vms)])

    async def read_vm(self, request: web.Request) -> web.Response:
        """Returns one VM."""
        name = request.match_info["vm"]
        return json_response(self._describe_vm(name)) if name in self.vms else json_response({}, status=404)

    async def operate(self, request: web.Request) -> web.Response:
        """Executes an operation on a VM, with the next injected fault of that VM."""
        name = request.match_info["vm"]
        if name not in self.vms or request.match_info["action"] not in list(PlatformAction):
            return json_response({}, status=404)
        action = PlatformAction(request.match_info["action"])
        operation_id = str((await request.json())["operation_id"])
        waiting = self.faults.get(name)
        fault = waiting.pop(0) if waiting else None
        self.vms[name].posts += 1
        await asyncio.sleep(self.operation_s)
        return await self._respond(name, action=action, operation_id=operation_id, fault=fault)

    async def _respond(
        self, name: str, *, action: PlatformAction, operation_id: str, fault: PlatformFault | None
    ) -> web.Response:
        match fault:
            case PlatformFault.FALSE_SUCCESS:
                return json_response(self._describe_vm(name))
            case PlatformFault.SERVER_ERROR:
                return json_response({}, status=500)
            case PlatformFault.NO_RESPONSE:
                self._execute(name, action=action, operation_id=operation_id)
                await asyncio.sleep(60.0)
            case PlatformFault.LATE_RESPONSE:
                await asyncio.sleep(self.late_s)
            case PlatformFault.EXECUTED_TWICE:
                self._execute(name, action=action, operation_id=operation_id)
                self.vms[name].operations.remove(operation_id)
            case PlatformFault.FALSELY_HEALTHY:
                self.vms[name].works = False
        self._execute(name, action=action, operation_id=operation_id)
        return json_response(self._describe_vm(name))

    def _execute(self, name: str, *, action: PlatformAction, operation_id: str) -> None:
        vm = self.vms[name]
        if operation_id in vm.operations:
            return
        vm.operations.append(operation_id)
        vm.done[operation_id] += 1
        vm.state = _RESULTING_STATES[action]
        if action is PlatformAction.REBOOT:
            self.on_reboot(name)

    def _describe_vm(self, name: str) -> PlatformVm:
        vm = self.vms[name]
        return PlatformVm(name=name, state=vm.state, healthy=True, operations=vm.operations[-20:])


__all__ = ["PlatformFault", "PlatformStandIn", "SimulatedVm"]
