"""Measures consensus: rates, elections, catch-up, restarts, memory and propagation of changes.

Members run as tasks of this process over an in-memory transport, with real files and fsyncs, so the results cover
the protocol and the disk but not capnp or the network. The rates are measured with key grants without an active
document, which the state rejects and records.
"""

from __future__ import annotations

import asyncio
import random
import statistics
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

from hyssopway.agreement import Configuration, Member, Store, run_elections
from hyssopway.replica import Replica

from .local_group import NAMES, WAIT_S, LocalGroup, LocalTransport, grant_key
from .measurement import Measurement, Series
from .propagation import measure_propagation
from .state_memory import measure_memory

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


def measure(*, seed: int, quick: bool) -> Measurement:
    """Measures consensus, propagation of changes and memory of the state."""
    measurement = Measurement(area="agreement")
    parts: list[Callable[..., Awaitable[None]]] = [
        _measure_rates,
        _measure_elections,
        _measure_catch_up,
        _measure_propagation,
    ]
    for part in parts:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(_run_part(part, measurement, Path(folder), seed=seed, quick=quick))
    measure_propagation(measurement, quick=quick)
    _measure_restarts(measurement, quick=quick)
    measure_memory(measurement, quick=quick)
    return measurement


async def _run_part(
    part: Callable[..., Awaitable[None]], measurement: Measurement, folder: Path, *, seed: int, quick: bool
) -> None:
    group = LocalGroup(folder=folder, seed=seed)
    group.start(*NAMES)
    try:
        await group.write()
        await part(measurement, group, quick=quick)
    finally:
        await group.stop()


async def _measure_rates(measurement: Measurement, group: LocalGroup, *, quick: bool) -> None:
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


async def _measure_elections(measurement: Measurement, group: LocalGroup, *, quick: bool) -> None:
    times = []
    for _ in range(5 if quick else 20):
        leader = group.leader()
        if leader is None:
            raise RuntimeError("the group has no leader to stop")
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


async def _measure_catch_up(measurement: Measurement, group: LocalGroup, *, quick: bool) -> None:
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
        if not await group.nodes[name].replica.wait_applied_past(wanted - 1, timeout_s=WAIT_S):
            raise TimeoutError(f"restarted member did not catch up {missed} changes in time")
        points.append((float(missed), time.monotonic() - started))
        measurement.figures[f"catch-up after {missed} changes s"] = points[-1][1]
    measurement.series.append(
        Series(name="restarted member", x_label="missed changes", y_label="catch-up s", points=points)
    )


async def _measure_propagation(measurement: Measurement, group: LocalGroup, *, quick: bool) -> None:
    delays = []
    for _ in range(50 if quick else 300):
        started = time.monotonic()
        await group.write()
        leader = group.leader()
        wanted = leader.member.commit_index if leader else 0
        await asyncio.gather(
            *(node.replica.wait_applied_past(wanted - 1, timeout_s=5) for node in group.nodes.values())
        )
        delays.append((time.monotonic() - started) * 1000)
        await asyncio.sleep(0.005)
    cuts = statistics.quantiles(delays, n=100, method="inclusive")
    measurement.figures["change applied on all 5 members, p50 ms"] = cuts[49]
    measurement.figures["change applied on all 5 members, p99 ms"] = cuts[98]
    measurement.figures["change applied on all 5 members, max ms"] = max(delays)


def _measure_restarts(measurement: Measurement, *, quick: bool) -> None:
    for changes in (2000, 20_000) if quick else (10_000, 200_000):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder)
            asyncio.run(_write_single_member_log(path, changes=changes))
            size = sum(file.stat().st_size for file in path.rglob("*") if file.is_file())
            started = time.monotonic()
            replica = Replica()
            member = Member(daemon="a", store=Store(folder=path), state_machine=replica, clock=time.monotonic)
            member.open(initial=None)
            measurement.figures[f"restart at {changes} changes s"] = time.monotonic() - started
            measurement.figures[f"disk at {changes} changes MB"] = size / 1e6
            member.store.close()


async def _write_single_member_log(folder: Path, *, changes: int) -> None:
    replica = Replica()
    member = Member(daemon="a", store=Store(folder=folder), state_machine=replica, clock=time.monotonic)
    member.open(initial=Configuration(voters=("a/0",)))
    tasks = [
        asyncio.create_task(member.sync_own_log()),
        asyncio.create_task(member.apply_committed()),
        asyncio.create_task(
            run_elections(member=member, transport=LocalTransport(nodes={}), rng=random.Random(1))
        ),
    ]
    for _ in range(1000):
        if member.is_leader:
            break
        await asyncio.sleep(0.01)
    for start in range(0, changes, 1000):
        # Batches only speed up filling the log; each change is still a log entry of its own on disk.
        batch = range(start, min(start + 1000, changes))
        await asyncio.gather(*(member.propose(data=grant_key(number), timeout_s=WAIT_S) for number in batch))
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    async with member.lock:
        member.store.close()


__all__ = ["measure"]
