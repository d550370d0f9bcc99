"""A simulated worker VM on the platform's protocol that can drop responses, delay calls or crash."""

from __future__ import annotations

import asyncio
import contextlib
import time
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import web

from .invariant_checker import VmTraits

if TYPE_CHECKING:
    import random
    from collections.abc import Coroutine

    from .held_calls import HeldCalls
    from .invariant_checker import InvariantChecker

MAX_LEASE_MS = 10_000
# The first boot of a machine has run for so long that its clock is far ahead of those of later boots.
FIRST_UPTIME_S = 300.0
HEARTBEAT_S = 0.4
MEMORY_MB = 16_000
# Capacities in millicores; a VM changes between them while it runs.
CAPACITIES = (8000, 8000, 4000, 2000)
CAPACITY_CHANGE_SHARE = 0.03
# A capacity that has shrunk binds from the next report and the leader's contact timeout on.
SHRINK_GRACE_S = 3.0 + 2 * HEARTBEAT_S


@dataclass(slots=True, kw_only=True)
class ActiveRun:
    """A run in progress.

    Attributes:
        cpu_millis: Declared CPU in millicores.
        started_at: Monotonic time in seconds of its start.
        duration_s: Duration in seconds.
        lasts: Whether the run is at work until it is stopped or fails.
        timer: Timer that ends the run.
        is_stopping: Whether the run was told to stop; it is then listed neither as running nor as ended until it ends.
    """

    cpu_millis: int
    started_at: float
    duration_s: float
    lasts: bool
    timer: asyncio.TimerHandle
    is_stopping: bool = False

    @property
    def percent(self) -> int:
        """Percentage of the work that is done; of a task that lasts, 100 while it is at work."""
        if self.lasts:
            return 100
        return min(99, int(100 * (time.monotonic() - self.started_at) / self.duration_s))


class WorkerVm:
    """A machine that hosts one VM at a time; a boot is a new VM, or the same one that has forgotten everything.

    Attributes:
        name: Name of the machine.
        checker: Receives every start and end of a run.
        rng: Random source for durations, failures and faults.
        control: Addresses of the control nodes to report to.
        lost_response_share: Share of calls that are executed but whose response is dropped.
        delayed_call_share: Share of calls that are executed up to 3 s late and whose response is dropped.
        slowdown: Factor by which runs that start now last longer.
        pool: Pool of the VM.
        labels: Labels of the VM; empty for a kind and one of two racks, which changes with the VM.
        held_calls: Chooses calls that the present boot or a later one carries out late.
        rejects_overload: Whether the VM refuses a start for which it has no room.
        failure_share: Share of runs that fail.
        clock_rate: Rate of the VM's clock relative to real time; leases expire by this clock.
        boot: Number of the current boot.
        instance: Number of the current VM, which is part of its ID.
        booted_at: Monotonic time in seconds of the current boot.
        down_until: Monotonic time in seconds until which the machine is down after a crash.
        cut_until: Monotonic time in seconds until which the machine is cut off from all control nodes.
        is_cut_silent: Whether connections stay open without an answer while the machine is cut off.
        capacities: Capacities in millicores, each with the monotonic time in seconds from which on it holds.
        lapsed_end: Number of the last end after which the lease lapsed; nobody can take note of it any more.
    """

    def __init__(
        self,
        *,
        name: str,
        checker: InvariantChecker,
        rng: random.Random,
        control: list[str],
        held_calls: HeldCalls,
        pool: str = "vans",
        labels: tuple[str, ...] = (),
        rejects_overload: bool = False,
    ) -> None:
        self.name = name
        self.checker = checker
        self.rng = rng
        self.control = control
        self.pool = pool
        self.labels = labels
        self.slowdown = 1.0
        self.lost_response_share = 0.0
        self.delayed_call_share = 0.0
        self.rejects_overload = rejects_overload
        self.held_calls = held_calls
        self.failure_share = 0.02
        self.clock_rate = rng.uniform(0.98, 1.0)
        self.boot = self.instance = 0
        self.booted_at = 0.0
        self.down_until = 0.0
        self.capacities = [(0.0, CAPACITIES[0])]
        self.cut_until = 0.0
        self.is_cut_silent = False
        self.sequence = 0
        self.fencing_token = 0
        self.lease_expiry_ms = 0.0
        self.running: dict[tuple[str, int], ActiveRun] = {}
        self.highest_ended_run: dict[str, int] = {}
        self.finished: list[list[Any]] = []
        self.ended_count = 0
        self.lapsed_end = 0
        self.change_event = asyncio.Event()
        self.address = ""
        self.announced_address = ""
        self.runner: web.AppRunner | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def vm_id(self) -> str:
        """ID of the current VM."""
        return f"{self.name}-{self.instance}"

    @property
    def clock_ms(self) -> int:
        """The VM's monotonic clock in milliseconds, which starts at zero in each boot."""
        return int((time.monotonic() - self.booted_at) * 1000 * self.clock_rate)

    async def start(self) -> None:
        """Starts the HTTP server, the reports and the lease monitor."""
        app = web.Application()
        app.router.add_post("/hyssopway/{call}", self._handle_call)
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        host, port = self.runner.addresses[0][:2]
        self.address = self.announced_address = f"{host}:{port}"
        self._start_boot()
        self._spawn(self._send_reports())
        self._spawn(self._enforce_lease())

    async def stop(self) -> None:
        """Stops all background tasks, runs and the HTTP server."""
        for task in list(self.tasks):
            task.cancel()
        for running in self.running.values():
            running.timer.cancel()
        if self.runner is not None:
            await self.runner.cleanup()

    def crash(self, *, down_s: float = 0.0, keeps_id: bool = False) -> None:
        """Ends all runs and boots a VM that has seen no fencing token.

        Args:
            down_s: Seconds until the VM answers and reports.
            keeps_id: Whether the VM has the same ID after the boot.
        """
        self.down_until = time.monotonic() + down_s
        for task, run in list(self.running):
            self.running.pop((task, run)).timer.cancel()
            self.checker.record_end(task=task, run=run, outcome="crashed")
        for _, task, run, outcome, _ in self.finished:
            self.checker.record_forgotten(task=task, run=run, outcome=outcome)
        self._start_boot(keeps_id=keeps_id)

    def cut_off(self, *, for_s: float, is_silent: bool) -> None:
        """Separates the VM from all control nodes while it runs on.

        Args:
            for_s: Duration in seconds.
            is_silent: Whether connections stay open without an answer.
        """
        self.cut_until = time.monotonic() + for_s
        self.is_cut_silent = is_silent

    def _start_boot(self, *, keeps_id: bool = False) -> None:
        uptime_s = 0.0 if self.boot else FIRST_UPTIME_S
        self.boot += 1
        self.instance += 0 if keeps_id else 1
        self.booted_at = time.monotonic() - uptime_s
        self.sequence = self.fencing_token = self.ended_count = self.lapsed_end = 0
        self.boot_time_ms = int((time.time() - uptime_s) * 1000)
        self.lease_expiry_ms = 0.0
        self.highest_ended_run, self.finished = {}, []
        self.checker.vm_traits[self.vm_id] = VmTraits(pool=self.pool, labels=self._list_labels())
        self.change_event.set()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send_reports(self) -> None:
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session:
            while True:
                if self._is_down() or self._is_cut_off():
                    await asyncio.sleep(0.05)
                    continue
                self._change_capacity()
                self.sequence += 1
                body = {
                    "service": self.pool,
                    "address": self.announced_address,
                    "zone": "nashua",
                    "state": "ready",
                    "capacity": {"cpu": self.capacities[-1][1], "memory_request_mb": MEMORY_MB},
                    "labels": self._list_labels(),
                    "call_sequence": self.sequence,
                    "born": self.boot_time_ms,
                }
                address = self.rng.choice(self.control)
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    url = f"http://{address}/hyssopway/instances/{self.vm_id}"
                    async with session.put(url, json=body):
                        pass
                await asyncio.sleep(HEARTBEAT_S)

    def _list_labels(self) -> tuple[str, ...]:
        # Two racks, because a copy of a run is placed in another rack.
        return self.labels or ("a", f"r{zlib.crc32(self.vm_id.encode()) % 2}")

    def _is_down(self) -> bool:
        return time.monotonic() < self.down_until

    def _is_cut_off(self) -> bool:
        return time.monotonic() < self.cut_until

    def _change_capacity(self) -> None:
        if self.rng.random() < CAPACITY_CHANGE_SHARE:
            self.capacities.append((time.monotonic(), self.rng.choice(CAPACITIES)))

    def _find_binding_capacity(self) -> int:
        """Returns the largest capacity that the leader may still assume, in millicores."""
        since = time.monotonic() - SHRINK_GRACE_S
        earlier = [millis for at, millis in self.capacities if at <= since]
        return max(earlier[-1], *(millis for at, millis in self.capacities if at > since), 0)

    async def _enforce_lease(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self.clock_ms > self.lease_expiry_ms:
                for task, run in list(self.running):
                    self._end_run(task, run=run, outcome="lapsed")
                self.lapsed_end = self.ended_count

    async def _handle_call(self, request: web.Request) -> web.Response:
        if self._is_cut_off():
            return await self._lose_call(request)
        response = await self._answer_call(request)
        return await self._lose_call(request) if self._is_cut_off() else response

    async def _lose_call(self, request: web.Request) -> web.Response:
        if self.is_cut_silent:
            await asyncio.sleep(self.cut_until - time.monotonic())
        return _drop_response(request)

    async def _answer_call(self, request: web.Request) -> web.Response:
        if self._is_down():
            return _drop_response(request)
        if request.headers.get("X-Hyssopway-Expected-Instance") != self.vm_id:
            return web.json_response({"clock_ms": self.clock_ms}, status=421)
        call = request.match_info["call"]
        body = await request.json()
        boot = self.boot
        if self.held_calls.is_chosen():
            await self._carry_out_late(call, body=body, delay_s=self.held_calls.choose_delay_s())
            return _drop_response(request)
        if call != "hold" and self.rng.random() < self.delayed_call_share:
            await self._carry_out_late(call, body=body, delay_s=self.rng.uniform(0.3, 3.0))
            return _drop_response(request)
        if call == "hold":
            response = await self._handle_poll(body)
            return response if boot == self.boot else _drop_response(request)
        response = self._execute(call, body=body, is_late=False)
        return (
            _drop_response(request)
            if self._is_down() or self.rng.random() < self.lost_response_share
            else response
        )

    async def _carry_out_late(self, call: str, *, body: dict[str, Any], delay_s: float) -> None:
        """Carries a call out after its sender has stopped waiting, by whichever boot of the VM is up by then."""
        vm_id, boot = self.vm_id, self.boot
        await asyncio.sleep(delay_s)
        if self._is_down() or vm_id != self.vm_id:
            return
        if boot != self.boot:
            self.held_calls.carried_over[call] += 1
            task = f" of {body['task']}/{body['run']}" if "task" in body else ""
            self.checker.log_run(
                f"{call}{task}, sent to boot {boot}, is carried out by boot {self.boot} of {vm_id}"
            )
        if call != "hold":
            self._execute(call, body=body, is_late=True)
        elif body["fencing_token"] >= self.fencing_token:
            self._take_poll(body)

    def _take_poll(self, body: dict[str, Any]) -> None:
        """Takes the lease and the acknowledgement of a poll."""
        self.fencing_token = body["fencing_token"]
        self._renew_lease(body.get("deadline_ms"))
        for number, task, run, outcome, _ in self.finished:
            if outcome == "done" and self.lapsed_end < number <= body["last_seen"]:
                self.checker.record_noted(task=task, run=run, vm=self.vm_id)
        self.finished = [
            finished_run for finished_run in self.finished if finished_run[0] > body["last_seen"]
        ]

    async def _handle_poll(self, body: dict[str, Any]) -> web.Response:
        if body["fencing_token"] < self.fencing_token:
            return web.json_response({"reason": "fence", "clock_ms": self.clock_ms}, status=409)
        self._take_poll(body)
        if not self.finished and body.get("wait_ms"):
            self.change_event.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(body["wait_ms"] / 1000):
                    await self.change_event.wait()
        # A tail latency that rises with the number of runs, so that pace and interference have something to decide.
        tail_ms = 30 * len(self.running)
        listed_runs = [
            [task, run, "", active.percent, tail_ms]
            for (task, run), active in self.running.items()
            if not active.is_stopping
        ]
        response = {"running": listed_runs, "finished": self.finished[:500], "born": self.boot_time_ms}
        return web.json_response(response | {"clock_ms": self.clock_ms})

    def _execute(self, call: str, *, body: dict[str, Any], is_late: bool) -> web.Response:
        task, run = body["task"], body["run"]
        if body["fencing_token"] < self.fencing_token:
            return self._refuse("fence")
        self.fencing_token = body["fencing_token"]
        if call == "run-stop":
            self.highest_ended_run[task] = max(run, self.highest_ended_run.get(task, 0))
            if (task, run) in self.running:
                self.running[task, run].is_stopping = True
                delay_s = self.rng.uniform(0.0, 0.3)
                asyncio.get_running_loop().call_later(delay_s, self._end_run_if_active, task, run, self.boot)
        elif call == "run-start":
            return self._start_run(task, run=run, body=body, is_late=is_late)
        return web.json_response({"clock_ms": self.clock_ms})

    def _start_run(self, task: str, *, run: int, body: dict[str, Any], is_late: bool) -> web.Response:
        if (task, run) in self.running:
            self._renew_lease(body["deadline_ms"])
            return web.json_response({"clock_ms": self.clock_ms})
        if run <= self.highest_ended_run.get(task, 0):
            self._renew_lease(body["deadline_ms"])
            return self._refuse("old")
        if body["deadline_ms"] <= self.clock_ms:
            return self._refuse("late")
        self._renew_lease(body["deadline_ms"])
        cpu_millis, duration_s, *kinds = body["specification"].split()
        used_millis = sum(active.cpu_millis for active in self.running.values()) + int(cpu_millis)
        if self.rejects_overload and used_millis > self.capacities[-1][1]:
            return self._refuse("room")
        if used_millis > self._find_binding_capacity() and not is_late:
            self.checker.record_overload(task=task, vm=self.vm_id, used_millis=used_millis)
        outcome = "failed" if self.rng.random() < self.failure_share or "lasting" in kinds else "done"
        factor = self.rng.uniform(0.5, 1.5)
        total_s = float(duration_s) * (max(1.0, factor) if "long" in kinds else factor) * self.slowdown
        timer = asyncio.get_running_loop().call_later(
            total_s,
            self._end_run_if_active,
            task,
            run,
            self.boot,
            outcome,
        )
        self.running[task, run] = ActiveRun(
            cpu_millis=int(cpu_millis),
            started_at=time.monotonic(),
            duration_s=total_s,
            lasts="lasting" in kinds,
            timer=timer,
        )
        self.checker.record_start(task=task, run=run, vm=self.vm_id, is_late=is_late)
        if "deadly" in kinds and task.endswith(".0.0.0"):
            self.crash(down_s=self.rng.uniform(0.3, 3.0))
        return web.json_response({"clock_ms": self.clock_ms})

    def _refuse(self, reason: str) -> web.Response:
        return web.json_response({"reason": reason, "clock_ms": self.clock_ms}, status=409)

    def _renew_lease(self, deadline_ms: int | None) -> None:
        if deadline_ms is not None:
            self.lease_expiry_ms = max(self.lease_expiry_ms, min(deadline_ms, self.clock_ms + MAX_LEASE_MS))

    def _end_run_if_active(self, task: str, run: int, boot: int, outcome: str = "stopped") -> None:
        if boot == self.boot and (task, run) in self.running:
            self._end_run(task, run=run, outcome=outcome)

    def _end_run(self, task: str, *, run: int, outcome: str) -> None:
        self.running.pop((task, run)).timer.cancel()
        self.highest_ended_run[task] = max(run, self.highest_ended_run.get(task, 0))
        self.ended_count += 1
        self.finished.append([self.ended_count, task, run, outcome, ""])
        self.checker.record_end(task=task, run=run, outcome=outcome)
        self.change_event.set()


def _drop_response(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()  # never sent: the connection is closed


__all__ = ["WorkerVm"]
