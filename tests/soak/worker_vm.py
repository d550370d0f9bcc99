"""A worker VM that speaks the platform's protocol and may lose answers, act late or end."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import web

if TYPE_CHECKING:
    import random
    from collections.abc import Coroutine

    from .truth import Truth

MAX_HOLD_MS = 10_000
HEARTBEAT_S = 0.4
CAPACITY = {"cpu": 8000, "memory_request_mb": 16_000}


@dataclass(slots=True, kw_only=True)
class Running:
    """A run that works.

    Attributes:
        cpu_millis: Thousandths of a core that it uses.
        timer: Ends it.
    """

    cpu_millis: int
    timer: asyncio.TimerHandle


class WorkerVm:
    """One machine with one VM after another.

    Attributes:
        name: Name of the machine.
        truth: Gets every start and end.
        rng: Chooses durations, failures and troubles.
        control: Control addresses to report to.
        lose_answers: Share of orders that are carried out without an answer.
        late_orders: Share of orders that are carried out seconds later, without an answer.
        fail_share: Share of runs that fail.
        clock_rate: Speed of the own clock; leases are counted by it.
        boot: Number of the present boot.
    """

    def __init__(self, *, name: str, truth: Truth, rng: random.Random, control: list[str]) -> None:
        self.name = name
        self.truth = truth
        self.rng = rng
        self.control = control
        self.lose_answers = 0.0
        self.late_orders = 0.0
        self.fail_share = 0.02
        self.clock_rate = rng.uniform(0.98, 1.0)
        self.boot = 0
        self.sequence = 0
        self.fence = 0
        self.lease_ms = 0.0
        self.running: dict[tuple[str, int], Running] = {}
        self.rejected: dict[str, int] = {}
        self.finished: list[list[Any]] = []
        self.ended = 0
        self.changed = asyncio.Event()
        self.address = ""
        self.announced_address = ""
        self.runner: web.AppRunner | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def vm_id(self) -> str:
        """Identity of the present boot."""
        return f"{self.name}-{self.boot}"

    @property
    def clock_ms(self) -> int:
        """The own steady clock."""
        return int(time.monotonic() * 1000 * self.clock_rate)

    async def start(self) -> None:
        """Listens; reports begin with `report_until_cancelled`."""
        app = web.Application()
        app.router.add_post("/hyssopway/{call}", self._answer)
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        host, port = self.runner.addresses[0][:2]
        self.address = self.announced_address = f"{host}:{port}"
        self._begin_boot()
        self._spawn(self._report())
        self._spawn(self._watch_lease())

    async def stop(self) -> None:
        """Ends all of it."""
        for task in list(self.tasks):
            task.cancel()
        for running in self.running.values():
            running.timer.cancel()
        if self.runner is not None:
            await self.runner.cleanup()

    def crash(self) -> None:
        """Ends everything; the next boot has another identity and has seen no fencing token."""
        for task, run in list(self.running):
            self.running.pop((task, run)).timer.cancel()
            self.truth.end(task=task, run=run, how="crashed")
        self._begin_boot()

    def _begin_boot(self) -> None:
        self.boot += 1
        self.sequence = self.fence = self.ended = 0
        self.born = int(time.time() * 1000)
        self.lease_ms = 0.0
        self.rejected, self.finished = {}, []
        self.changed.set()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _report(self) -> None:
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session:
            while True:
                self.sequence += 1
                body = {
                    "service": "vans",
                    "address": self.announced_address,
                    "zone": "nashua",
                    "state": "ready",
                    "capacity": CAPACITY,
                    "labels": ["a", "r1"],
                    "call_sequence": self.sequence,
                    "born": self.born,
                }
                address = self.rng.choice(self.control)
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    url = f"http://{address}/hyssopway/instances/{self.vm_id}"
                    async with session.put(url, json=body):
                        pass
                await asyncio.sleep(HEARTBEAT_S)

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock_ms > self.lease_ms:
                for task, run in list(self.running):
                    self._finish(task, run=run, how="lapsed")

    async def _answer(self, request: web.Request) -> web.Response:
        if request.headers.get("X-Hyssopway-Expected-Instance") != self.vm_id:
            return web.json_response({"clock_ms": self.clock_ms}, status=421)
        call = request.match_info["call"]
        body = await request.json()
        boot = self.boot
        if call != "hold" and self.rng.random() < self.late_orders:
            await asyncio.sleep(self.rng.uniform(0.3, 3.0))
            if boot == self.boot:
                self._carry_out(call, body=body, is_late=True)
            return _lose_answer(request)
        if call == "hold":
            return await self._hold(body)
        answer = self._carry_out(call, body=body, is_late=False)
        return _lose_answer(request) if self.rng.random() < self.lose_answers else answer

    async def _hold(self, body: dict[str, Any]) -> web.Response:
        if body["fencing_token"] < self.fence:
            return web.json_response({"reason": "fence", "clock_ms": self.clock_ms}, status=409)
        self.fence = body["fencing_token"]
        self._extend(body.get("deadline_ms"))
        self.finished = [row for row in self.finished if row[0] > body["last_seen"]]
        if not self.finished and body.get("wait_ms"):
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(body["wait_ms"] / 1000):
                    await self.changed.wait()
        rows = [[task, run, "", 50, 0] for task, run in self.running]
        answer = {"running": rows, "finished": self.finished[:500], "born": self.born}
        return web.json_response(answer | {"clock_ms": self.clock_ms})

    def _carry_out(self, call: str, *, body: dict[str, Any], is_late: bool) -> web.Response:
        task, run = body["task"], body["run"]
        if body["fencing_token"] < self.fence:
            return self._refuse("fence")
        self.fence = body["fencing_token"]
        if call == "run-stop":
            self.rejected[task] = max(run, self.rejected.get(task, 0))
            if (task, run) in self.running:
                delay_s = self.rng.uniform(0.0, 0.3)
                asyncio.get_running_loop().call_later(delay_s, self._finish_if_there, task, run, self.boot)
        elif call == "run-start":
            return self._start(task, run=run, body=body, is_late=is_late)
        return web.json_response({"clock_ms": self.clock_ms})

    def _start(self, task: str, *, run: int, body: dict[str, Any], is_late: bool) -> web.Response:
        if (task, run) in self.running:
            return web.json_response({"clock_ms": self.clock_ms})
        if run <= self.rejected.get(task, 0):
            self._extend(body["deadline_ms"])
            return self._refuse("old")
        if body["deadline_ms"] <= self.clock_ms:
            return self._refuse("late")
        self._extend(body["deadline_ms"])
        cpu_millis, duration_s = (float(word) for word in body["specification"].split())
        if sum(one.cpu_millis for one in self.running.values()) + cpu_millis > CAPACITY["cpu"]:
            return self._refuse("room")
        how = "failed" if self.rng.random() < self.fail_share else "done"
        timer = asyncio.get_running_loop().call_later(
            duration_s * self.rng.uniform(0.5, 1.5), self._finish_if_there, task, run, self.boot, how
        )
        self.running[task, run] = Running(cpu_millis=int(cpu_millis), timer=timer)
        self.truth.start(task=task, run=run, vm=self.vm_id, is_late=is_late)
        return web.json_response({"clock_ms": self.clock_ms})

    def _refuse(self, reason: str) -> web.Response:
        return web.json_response({"reason": reason, "clock_ms": self.clock_ms}, status=409)

    def _extend(self, deadline_ms: int | None) -> None:
        if deadline_ms is not None:
            self.lease_ms = max(self.lease_ms, min(deadline_ms, self.clock_ms + MAX_HOLD_MS))

    def _finish_if_there(self, task: str, run: int, boot: int, how: str = "stopped") -> None:
        if boot == self.boot and (task, run) in self.running:
            self._finish(task, run=run, how=how)

    def _finish(self, task: str, *, run: int, how: str) -> None:
        self.running.pop((task, run)).timer.cancel()
        self.rejected[task] = max(run, self.rejected.get(task, 0))
        self.ended += 1
        self.finished.append([self.ended, task, run, how, ""])
        self.truth.end(task=task, run=run, how=how)
        self.changed.set()


def _lose_answer(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()  # nobody gets it


__all__ = ["WorkerVm"]
