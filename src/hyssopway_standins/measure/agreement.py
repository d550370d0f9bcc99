"""Measures the agreement: rates, elections, catch-up, restarts, memory and spread of changes.

Members run as tasks of this process over a transport that only delivers, with real files and syncs, so the
figures hold for the protocol and the disk and not for capnp or the network. The changes of the rates are key
grants without a document in force, which the state refuses and remembers.
"""

from __future__ import annotations

import asyncio
import random
import statistics
import tempfile
import time
import tracemalloc
from pathlib import Path
from typing import TYPE_CHECKING, Any

from hyssopway.agreement import (
    Configuration,
    Member,
    Role,
    SnapshotParts,
    Store,
    answer_append,
    answer_snapshot,
    answer_vote,
    run_elections,
    run_replication,
    run_to_completion,
)
from hyssopway.control import ControlState, Envelope, encode_envelope
from hyssopway.control.command import GrantKey, PromoteDocument, RegisterVm, TrialDocument
from hyssopway.document import Resources
from hyssopway.replica import Replica
from hyssopway_standins.fleet import EXAMPLES

from .measurement import Measurement, Series
from .spread import measure_spread

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hyssopway.control.command import Command

NAMES = ("a", "b", "c", "d", "e")
WAIT_S = 30.0
STATE_KEYS = 2000


class _Node:
    """One member with its tasks."""

    __slots__ = ("member", "parts", "replica", "tasks")

    def __init__(self, *, member: Member, replica: Replica) -> None:
        self.member = member
        self.replica = replica
        self.parts = SnapshotParts()
        self.tasks: list[asyncio.Task[None]] = []


class _Wire:
    """Delivers messages to running members."""

    __slots__ = ("nodes",)

    def __init__(self, *, nodes: dict[str, _Node]) -> None:
        self.nodes = nodes

    async def vote(self, *, daemon: str, request: Any, timeout_s: float) -> Any:
        return await self._deliver(
            daemon, timeout_s, lambda node: answer_vote(member=node.member, request=request)
        )

    async def append(self, *, daemon: str, request: Any, timeout_s: float) -> Any:
        return await self._deliver(
            daemon, timeout_s, lambda node: answer_append(member=node.member, request=request)
        )

    async def install_snapshot(self, *, daemon: str, chunk: Any, timeout_s: float) -> Any:
        return await self._deliver(
            daemon, timeout_s, lambda node: answer_snapshot(member=node.member, parts=node.parts, chunk=chunk)
        )

    async def _deliver(self, daemon: str, timeout_s: float, answer: Callable[[_Node], Any]) -> Any:
        node = self.nodes.get(daemon)
        if node is None:
            raise ConnectionError(f"{daemon} does not run")
        async with asyncio.timeout(timeout_s):
            return await run_to_completion(answer(node))


class _Group:
    """Five members with real files."""

    __slots__ = ("folder", "next_key", "nodes", "rng")

    def __init__(self, *, folder: Path, seed: int) -> None:
        self.folder = folder
        self.nodes: dict[str, _Node] = {}
        self.rng = random.Random(seed)
        self.next_key = 0

    def start(self, *names: str) -> None:
        initial = Configuration(voters=tuple(f"{name}/0" for name in NAMES))
        for name in names:
            replica = Replica()
            store = Store(folder=self.folder / name)
            member = Member(daemon=name, store=store, machine=replica, clock=time.monotonic)
            member.open(initial=initial)
            node = self.nodes[name] = _Node(member=member, replica=replica)
            wire = _Wire(nodes=self.nodes)
            rng = random.Random(self.rng.random())
            node.tasks = [
                asyncio.create_task(member.sync_own_log()),
                asyncio.create_task(member.apply_committed()),
                asyncio.create_task(run_elections(member=member, transport=wire, rng=rng)),
                asyncio.create_task(run_replication(member=member, transport=wire)),
            ]

    async def stop(self, *names: str) -> None:
        for name in names or tuple(self.nodes):
            node = self.nodes.pop(name)
            for task in node.tasks:
                task.cancel()
            await asyncio.gather(*node.tasks, return_exceptions=True)
            async with node.member.lock:
                node.member.role = Role.STOPPED
                node.member.store.close()

    def leader(self) -> _Node | None:
        leaders = [node for node in self.nodes.values() if node.member.is_leader]
        return max(leaders, key=lambda node: node.member.term, default=None)

    async def write(self) -> None:
        """Proposes a new key until it is acknowledged."""
        self.next_key += 1
        data = grant_key(self.next_key)
        deadline = time.monotonic() + WAIT_S
        while time.monotonic() < deadline:
            leader = self.leader()
            if leader is not None and (await leader.member.propose(data=data, timeout_s=2.0)).is_ok():
                return
            await asyncio.sleep(0.005)
        raise TimeoutError("no change was accepted")

    async def write_many(self, *, count: int, writers: int) -> None:
        """Writes `count` changes with that many writers at once."""
        left = iter(range(count))

        async def work() -> None:
            for _ in left:
                await self.write()

        await asyncio.gather(*(work() for _ in range(writers)))


def measure(*, seed: int, quick: bool) -> Measurement:
    """Measures the agreement."""
    measurement = Measurement(area="agreement")
    parts: list[Callable[..., Awaitable[None]]] = [_rates, _elections, _catch_up, _spread]
    for part in parts:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(_run_part(part, measurement, Path(folder), seed=seed, quick=quick))
    measure_spread(measurement, quick=quick)
    _restarts(measurement, quick=quick)
    _memory(measurement, quick=quick)
    return measurement


def grant_key(number: int) -> bytes:
    """Encodes a change of the size that operators make."""
    # Keys repeat, so that the state has a steady size and the log alone grows.
    key_id = f"k{number % STATE_KEYS}"
    command = GrantKey(
        key_id=key_id, key_hash="0" * 64, team="team", request_id=f"r{number}", operator="operator"
    )
    return encode_envelope(Envelope(at_ms=number, wall_ms=number, command=command))


async def _run_part(
    part: Callable[..., Awaitable[None]], measurement: Measurement, folder: Path, *, seed: int, quick: bool
) -> None:
    group = _Group(folder=folder, seed=seed)
    group.start(*NAMES)
    try:
        await group.write()
        await part(measurement, group, quick=quick)
    finally:
        await group.stop()


async def _rates(measurement: Measurement, group: _Group, *, quick: bool) -> None:
    points = []
    for writers in (1, 8, 64):
        count = (50 if quick else 150) * min(writers, 16)
        leader = group.leader()
        before = leader.member.store.log_file.syncs if leader else 0
        started = time.monotonic()
        await group.write_many(count=count, writers=writers)
        rate = count / (time.monotonic() - started)
        after = leader.member.store.log_file.syncs if leader else 0
        measurement.figures[f"changes at {writers} writers per s"] = rate
        if leader is group.leader():
            measurement.figures[f"syncs per change at {writers} writers"] = (after - before) / count
        points.append((float(writers), rate))
    measurement.series.append(
        Series(name="five members", x_label="writers", y_label="changes per s", points=points)
    )


async def _elections(measurement: Measurement, group: _Group, *, quick: bool) -> None:
    times = []
    for _ in range(5 if quick else 20):
        leader = group.leader()
        if leader is None:
            raise RuntimeError("no leader to stop")
        name = leader.member.daemon
        started = time.monotonic()
        await group.stop(name)
        await group.write()
        times.append(time.monotonic() - started)
        group.start(name)
        await asyncio.sleep(0.3)
    measurement.figures["leader lost to accepted change, median s"] = statistics.median(times)
    measurement.figures["leader lost to accepted change, max s"] = max(times)
    measurement.figures["leader lost to accepted change, trials"] = len(times)


async def _catch_up(measurement: Measurement, group: _Group, *, quick: bool) -> None:
    points = []
    for missed in (1, 300, 1000 if quick else 10_000):
        leader = group.leader()
        name = next(other for other in NAMES if leader is None or other != leader.member.daemon)
        await group.stop(name)
        await group.write_many(count=missed, writers=64)
        leader = group.leader()
        wanted = leader.member.commit_index if leader else 0
        started = time.monotonic()
        group.start(name)
        if not await group.nodes[name].replica.wait_beyond(wanted - 1, timeout_s=WAIT_S):
            raise TimeoutError(f"{missed} missed changes were not caught up")
        points.append((float(missed), time.monotonic() - started))
        measurement.figures[f"catch-up after {missed} changes s"] = points[-1][1]
    measurement.series.append(
        Series(name="restarted member", x_label="missed changes", y_label="catch-up s", points=points)
    )


async def _spread(measurement: Measurement, group: _Group, *, quick: bool) -> None:
    delays = []
    for _ in range(50 if quick else 300):
        started = time.monotonic()
        await group.write()
        leader = group.leader()
        wanted = leader.member.commit_index if leader else 0
        await asyncio.gather(
            *(node.replica.wait_beyond(wanted - 1, timeout_s=5) for node in group.nodes.values())
        )
        delays.append((time.monotonic() - started) * 1000)
        await asyncio.sleep(0.005)
    cuts = statistics.quantiles(delays, n=100, method="inclusive")
    measurement.figures["change applied on all 5 members, p50 ms"] = cuts[49]
    measurement.figures["change applied on all 5 members, p99 ms"] = cuts[98]
    measurement.figures["change applied on all 5 members, max ms"] = max(delays)


def _restarts(measurement: Measurement, *, quick: bool) -> None:
    for changes in (2000, 20_000) if quick else (10_000, 200_000):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder)
            asyncio.run(_fill_alone(path, changes=changes))
            size = sum(file.stat().st_size for file in path.rglob("*") if file.is_file())
            started = time.monotonic()
            replica = Replica()
            member = Member(daemon="a", store=Store(folder=path), machine=replica, clock=time.monotonic)
            member.open(initial=None)
            measurement.figures[f"restart at {changes} changes s"] = time.monotonic() - started
            measurement.figures[f"disk at {changes} changes MB"] = size / 1e6
            member.store.close()


async def _fill_alone(folder: Path, *, changes: int) -> None:
    replica = Replica()
    member = Member(daemon="a", store=Store(folder=folder), machine=replica, clock=time.monotonic)
    member.open(initial=Configuration(voters=("a/0",)))
    tasks = [
        asyncio.create_task(member.sync_own_log()),
        asyncio.create_task(member.apply_committed()),
        asyncio.create_task(run_elections(member=member, transport=_Wire(nodes={}), rng=random.Random(1))),
    ]
    for _ in range(1000):
        if member.is_leader:
            break
        await asyncio.sleep(0.01)
    for start in range(0, changes, 1000):
        # A restart is measured after single changes; here they are only needed on disk.
        batch = range(start, min(start + 1000, changes))
        await asyncio.gather(*(member.propose(data=grant_key(number), timeout_s=WAIT_S) for number in batch))
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    async with member.lock:
        member.store.close()


def _memory(measurement: Measurement, *, quick: bool) -> None:
    sizes = (300, 600, 1200) if quick else (1000, 3000, 9000)
    for name, make in (("key", grant_new_key), ("VM", register_vm)):
        points = [(float(count), _state_kb(make, count=count)) for count in sizes]
        x, y = zip(*points, strict=True)
        slope, intercept = statistics.linear_regression(x, y)
        worst = max(abs(slope * count + intercept - size) / size for count, size in points)
        measurement.figures[f"memory per {name} KB"] = slope
        measurement.figures[f"memory per {name}, worst fit error"] = worst
        measurement.series.append(
            Series(name=name, x_label="keys or VMs", y_label="memory of the state KB", points=points)
        )


def _state_kb(make: Callable[[int], Command], *, count: int) -> float:
    state = ControlState()
    text = (EXAMPLES / "pantry" / "document.yaml").read_text()
    trial = TrialDocument(text=text, expected_generation=0, request_id="trial", operator="operator")
    tried = state.apply(index=1, data=encode_envelope(Envelope(at_ms=1, wall_ms=1, command=trial)))
    promote = PromoteDocument(
        digest=tried.reference, expected_generation=0, request_id="promote", operator="operator"
    )
    state.apply(index=2, data=encode_envelope(Envelope(at_ms=2, wall_ms=2, command=promote)))
    tracemalloc.start()
    for number in range(3, count + 3):
        data = encode_envelope(Envelope(at_ms=number, wall_ms=number, command=make(number)))
        outcome = state.apply(index=number, data=data)
        if outcome.failure is not None:
            raise RuntimeError(f"change {number} was refused: {outcome.failure.message}")
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / 1000


def grant_new_key(number: int) -> Command:
    """Returns a grant of a key of its own."""
    return GrantKey(
        key_id=f"k{number}",
        key_hash=f"{number:064x}",
        team="casco-bay",
        request_id=f"r{number}",
        operator="operator",
    )


def register_vm(number: int) -> Command:
    """Returns the registration of a worker VM of its own."""
    return RegisterVm(
        vm=f"vm-{number}",
        zone="Nashua",
        rack=f"rack-{number // 4}",
        pool="restock",
        capacity=Resources(cores=64, memory_gb=128),
        home="nashua-1",
        boot_id=f"boot-{number}",
    )


__all__ = ["measure"]
