"""Stand-ins of minions, clients, the operator and the provider, as PROTOCOL.md describes them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import secrets
import time
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web

from cluster import BOUNDS, Node, Record

STOP_S = 0.1  # within `stop_timeout_ms`
GREY_S = 0.2  # a grey minion fails all that it starts after this time
GANG_TIMEOUT_S = BOUNDS["gang_timeout_ms"] / 1000
OTHER_NODE_AFTER_S = 1.0


@dataclass
class Work:
    """How long the tasks of a job work, by the job's ID."""

    seconds: float
    steps: list[dict]
    failed_runs: int = 0  # the first runs of each task that end failed


@dataclass
class Start:
    """One run that a minion has begun."""

    task: str
    run: int
    minion: str
    begun: float
    ended: float | None = None
    how: str = ""


class World:
    """What the stand-ins share: the jobs that clients sent, and each run that a minion began."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.jobs: dict[str, Work] = {}
        self.starts: list[Start] = []
        self.gangs: dict[tuple[str, int], dict[str, Minion]] = {}

    def step_of(self, task: str) -> tuple[Work, dict]:
        job, _, step, _ = task.split(".")
        return self.jobs[job], self.jobs[job].steps[int(step)]


@dataclass
class Active:
    """A run on a minion."""

    start: Start
    works_since: float | None = None
    end_timer: asyncio.TimerHandle | None = None
    is_stopping: bool = False


class Minion:
    """One life after another of a machine that runs tasks."""

    def __init__(self, world: World, *, machine: str, service: str, zone: str, rack: str, controls: list[Node],
                 cpu: int = 64000, keeps_id: bool = False) -> None:
        self.world, self.machine, self.service, self.zone, self.rack = world, machine, service, zone, rack
        self.controls, self.cpu, self.keeps_id = controls, cpu, keeps_id
        self.rng = random.Random(machine)
        self.is_cut = self.is_down = self.is_dark = self.is_grey = False
        self.healed = asyncio.Event()
        self.tasks: list[asyncio.Task] = []
        self.runner: web.AppRunner | None = None
        self.connections: set[asyncio.Transport] = set()  # those on which a call has arrived
        self.address = ""
        self.minion_id = ""
        self.boot = 0

    async def start(self) -> None:
        app = web.Application()
        app.router.add_post("/hyssopway/{call}", self._handle)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        host, port = self.runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        self._begin_life()
        self.tasks = [asyncio.create_task(self._ping()), asyncio.create_task(self._watch_lease())]

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        if self.runner is not None:
            await self.runner.cleanup()

    # Disruptions.

    def cut(self) -> None:
        self.world.record.write(f"{self.machine} is cut off from all machines and works on")
        self.is_cut, self.healed = True, asyncio.Event()

    def heal(self) -> None:
        self.world.record.write(f"{self.machine} is connected again")
        self.is_cut = False
        self.healed.set()

    def crash(self, *, is_dark: bool = False) -> None:
        """Ends this life; a dark minion refuses no connection, it is silent."""
        self.world.record.write(f"{self.machine} crashes")
        self.is_dark = is_dark
        if is_dark:
            self.healed = asyncio.Event()
        for active in list(self.running.values()):
            if active.end_timer:
                active.end_timer.cancel()
            self._close(active, "crashed")
        self.running.clear()
        self.is_down = True
        self.changed.set()  # a call that waits ends with the minion
        if not (is_dark or self.is_cut):
            self._reset_connections()

    def restart(self) -> None:
        # No connection outlives its process; those of a silent minion show it once it is up again.
        self._reset_connections()
        self._begin_life()
        self.is_down = False
        if not self.is_cut:
            self.healed.set()
        self.world.record.write(f"{self.machine} starts again as {self.minion_id}")

    def _reset_connections(self) -> None:
        for transport in self.connections:
            transport.abort()
        self.connections.clear()

    # The minion itself.

    @property
    def clock_ms(self) -> int:
        return int((time.monotonic() - self.clock_zero) * 1000)

    def _begin_life(self) -> None:
        if not (self.minion_id and self.keeps_id):
            self.minion_id = f"i-{secrets.token_hex(5)}"
        self.boot += 1
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic()
        self.sequence = self.fence = self.ends = 0
        self.deadline_ms = 0
        self.running: dict[tuple[str, int], Active] = {}
        self.highest_over: dict[str, int] = {}
        self.finished: list[list] = []
        self.changed = asyncio.Event()

    async def _ping(self) -> None:
        address = ""
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session:
            while True:
                if self.is_cut or self.is_down:
                    await asyncio.sleep(0.05)
                    continue
                self.sequence += 1
                body = {
                    "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                    "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                    "capacity": {"cpu": self.cpu, "memory_request_mb": 131072, "gpus": 0},
                    "labels": ["a", self.rack], "clock_ms": self.clock_ms, "call_sequence": self.sequence,
                    "born": self.born,
                }
                nodes = [address] if address else []
                nodes += self.rng.sample([node.http for node in self.controls], len(self.controls))
                address = ""
                for node in nodes:
                    with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError, ValueError):
                        url = f"http://{node}/hyssopway/instances/{self.minion_id}"
                        async with session.put(url, json=body) as response:
                            if response.status == 200:
                                address = (await response.json()).get("heartbeat_address", "")
                                break
                await asyncio.sleep(1.5)

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            if self.running and self.clock_ms > self.deadline_ms:
                for active in list(self.running.values()):
                    self._end(active, "lapsed")

    async def _handle(self, request: web.Request) -> web.Response:
        if request.transport is not None:
            self.connections.add(request.transport)
        raw = await request.read()
        if self.is_down or self.is_cut:
            if self.is_dark or self.is_cut:
                await self.healed.wait()
            return self._drop(request)
        life = self.boot
        if request.headers.get("X-Hyssopway-Expected-Instance") != self.minion_id:
            return web.json_response({"clock_ms": self.clock_ms, "born": self.born}, status=421)
        call, body = request.match_info["call"], json.loads(raw)
        answer = await self._hold(body) if call == "hold" else self._order(call, body)
        if self.is_cut:
            await self.healed.wait()
            return self._drop(request)
        if self.is_down or life != self.boot:
            if self.is_down and self.is_dark:
                await self.healed.wait()
            return self._drop(request)
        return answer

    def _drop(self, request: web.Request) -> web.Response:
        if request.transport is not None:
            request.transport.abort()
        return web.Response()

    def _refuse(self, reason: str) -> web.Response:
        return web.json_response({"clock_ms": self.clock_ms, "reason": reason}, status=409)

    def _extend(self, deadline_ms: int | None) -> None:
        if deadline_ms is not None:
            limit = self.clock_ms + BOUNDS["max_hold_ms"]
            self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit))

    async def _hold(self, body: dict) -> web.Response:
        if body["fencing_token"] < self.fence:
            return self._refuse("fence")
        self.fence = body["fencing_token"]
        self._extend(body.get("deadline_ms"))
        self.finished = [row for row in self.finished if row[0] > body["last_seen"]]
        if not self.finished and body.get("wait_ms"):
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(body["wait_ms"] / 1000):
                    await self.changed.wait()
        rows = [
            [*key, "", self._percent(active), 0] for key, active in self.running.items() if not active.is_stopping
        ]
        return web.json_response(
            {"clock_ms": self.clock_ms, "born": self.born, "running": rows, "finished": self.finished[:500]}
        )

    def _percent(self, active: Active) -> int:
        work, step = self.world.step_of(active.start.task)
        if step.get("long_running"):
            return 100
        if active.works_since is None:
            return 0
        return min(99, int(100 * (time.monotonic() - active.works_since) / work.seconds))

    def _order(self, call: str, body: dict) -> web.Response:
        task, run = body["task"], body["run"]
        if body.get("fencing_token", 0) < self.fence:
            return self._refuse("fence")
        self.fence = body["fencing_token"]
        if call == "run-stop":
            self.highest_over[task] = max(run, self.highest_over.get(task, 0))
            active = self.running.get((task, run))
            if active is not None and not active.is_stopping:
                active.is_stopping = True
                asyncio.get_running_loop().call_later(STOP_S, self._end, active, "stopped")
        elif call == "run-start":
            return self._start(task, run, body)
        return web.json_response({"clock_ms": self.clock_ms})

    def _start(self, task: str, run: int, body: dict) -> web.Response:
        if (task, run) in self.running:
            return web.json_response({"clock_ms": self.clock_ms})
        if run <= self.highest_over.get(task, 0):
            self._extend(body["deadline_ms"])
            return self._refuse("old")
        if body["deadline_ms"] <= self.clock_ms:
            return self._refuse("late")
        work, step = self.world.step_of(task)
        if step.get("requirements") not in (None, "a", self.rack):
            self.world.record.write(f"{self.minion_id} lacks the label of {task}")
        used = sum(self.world.step_of(key[0])[1]["cpu"] for key in self.running)
        self._extend(body["deadline_ms"])
        if used + step["cpu"] > self.cpu:
            return self._refuse("room")
        start = Start(task=task, run=run, minion=self.minion_id, begun=self.world.record.now())
        self.world.starts.append(start)
        self.world.record.write(f"{self.minion_id} ({self.machine}, {self.zone}) begins {task} run {run}")
        active = self.running[task, run] = Active(start=start)
        if step.get("gang_scheduled"):
            self._join_gang(active, work=work, step=step)
        else:
            self._work(active, work=work, step=step)
        return web.json_response({"clock_ms": self.clock_ms})

    def _work(self, active: Active, *, work: Work, step: dict) -> None:
        active.works_since = time.monotonic()
        loop = asyncio.get_running_loop()
        if self.is_grey:
            active.end_timer = loop.call_later(GREY_S, self._end, active, "failed")
        elif not step.get("long_running"):
            how = "failed" if active.start.run <= work.failed_runs else "done"
            active.end_timer = loop.call_later(work.seconds, self._end, active, how)

    def _join_gang(self, active: Active, *, work: Work, step: dict) -> None:
        key = (active.start.task.rpartition(".")[0], active.start.run)
        members = self.world.gangs.setdefault(key, {})
        members[active.start.task] = self
        if len(members) < step["count"]:
            loop = asyncio.get_running_loop()
            active.end_timer = loop.call_later(GANG_TIMEOUT_S, self._end, active, "alone")
            return
        for task, minion in members.items():
            member = minion.running[task, active.start.run]
            if member.end_timer:
                member.end_timer.cancel()
            minion._work(member, work=work, step=step)

    def _close(self, active: Active, how: str) -> None:
        active.start.ended, active.start.how = self.world.record.now(), how
        self.world.record.write(f"{self.minion_id}: {active.start.task} run {active.start.run} ends: {how}")
        key = (active.start.task.rpartition(".")[0], active.start.run)
        members = self.world.gangs.get(key)
        if members is not None and members.pop(active.start.task, None) is not None and how != "done":
            for task, minion in list(members.items()):
                other = minion.running.get((task, active.start.run))
                if other is not None:
                    minion._end(other, "broken")

    def _end(self, active: Active, how: str) -> None:
        key = (active.start.task, active.start.run)
        if self.running.get(key) is not active:
            return
        if active.end_timer:
            active.end_timer.cancel()
        del self.running[key]
        self.highest_over[key[0]] = max(key[1], self.highest_over.get(key[0], 0))
        self.ends += 1
        self.finished.append([self.ends, *key, how, ""])
        self._close(active, how)
        self.changed.set()


class Provider:
    """The provider's list of machines; no pool is on standby, and no wave is due."""

    def __init__(self) -> None:
        self.minions: list[Minion] = []
        self.address = ""

    async def start(self) -> None:
        app = web.Application()
        app.router.add_get("/hyssopway/machines", self._machines)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        host, port = self.runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        await self.runner.cleanup()

    async def _machines(self, _request: web.Request) -> web.Response:
        rows = [
            {"machine_id": minion.machine, "pool": minion.service, "state": "up", "zone": minion.zone,
             "labels": ["a", minion.rack], "id": minion.minion_id,
             "capacity": {"cpu": minion.cpu, "memory_request_mb": 131072, "gpus": 0}}
            for minion in self.minions
        ]
        return web.json_response({"machines": rows, "next_page_token": ""})


@dataclass
class Caller:
    """The operator and the clients."""

    record: Record
    controls: list[Node]
    entries: list[Node]
    rng: random.Random = field(default_factory=lambda: random.Random(34))

    async def order(self, method: str, path: str, *, body: dict | None = None, first: Node | None = None,
                    for_s: float = 4.0) -> float | None:
        """Sends an order as the operator does: to one node after another until one acknowledges it.

        Returns:
            The time of the ack; None without one.
        """
        nodes = self.rng.sample(self.controls, len(self.controls))
        if first is not None:
            nodes = [first, *(node for node in nodes if node is not first)]
        deadline, attempt = time.monotonic() + for_s, 0
        while time.monotonic() < deadline:
            node = nodes[attempt % len(nodes)]
            attempt += 1
            status = await self._send(method, f"http://{node.http}{path}", node=node, body=body)
            if status is not None and 200 <= status < 300:
                return self.record.now()
            await asyncio.sleep(min(0.05 * 2**attempt, 0.5))
        return None

    async def call(self, method: str, path: str, *, key: str, body: dict | None = None) -> tuple[int | None, dict]:
        """Sends a call of a client, and retries it at other nodes as clients do."""
        status, answer = None, {}
        for _ in range(5):
            node = self.rng.choice(self.entries)
            headers = {"Host": "pule25.example", "Authorization": f"Bearer {key}",
                       "X-Hyssopway-Deadline": "3000"}
            try:
                async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3.0)) as session:
                    url = f"http://{node.http}{path}"
                    async with session.request(method, url, json=body, headers=headers) as response:
                        status, answer = response.status, await response.json()
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
                status, answer = None, {}
            self.record.write(f"client {method} {path} at {node.name}: {status} {answer if status == 200 else ''}")
            if status in (200, 410, 404, 401, 400):
                break
            await asyncio.sleep(0.3)
        return status, answer

    async def _send(self, method: str, url: str, *, node: Node, body: dict | None) -> int | None:
        status: int | None = None
        try:
            timeout = aiohttp.ClientTimeout(total=OTHER_NODE_AFTER_S)
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.request(method, url, json=body) as response:
                    await response.read()
                    status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            status = None
        self.record.write(f"operator {method} {url.partition('/hyssopway')[2]} at {node.name}: {status}")
        return status


KEY = "sjnbanfqasnmgkcuyj8p"
PREFIX = "/puxa400/"


def manifest(version: int = 1, *, has_route: bool = True) -> dict:
    """Returns a manifest with one queue, and one that is never used."""
    route = {"name": "r-tyiikdr", "host": "pule25.example", "path_prefix": PREFIX, "kind": "unsafe",
             "timeout_ms": 3000, "target_latency_ms": 2500, "priority": 0, "service": "huvo11a",
             "max_attempts": 3, "stretch": 2.2, "public": False}
    idle = route | {"name": "r-w63is47", "path_prefix": "/wuhu344/"}
    return {
        "version": version,
        "routes": [route, idle] if has_route else [idle],
        "services": [{"name": "huvo11a", "health_check_path": "/health", "max_connections": 64, "protocol": "h1",
                      "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0, "rejects_overload": True,
                      "standby": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": "cugo130", "api_keys": [KEY], "priority": 1, "weight": 25,
                     "upper_limit": {"cpu": 1487496, "memory_request_mb": 2449715, "gpus": 0}}],
    }
