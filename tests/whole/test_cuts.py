"""Silent partitions between real processes."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp
import pytest

from daemon_dumps import find_leader, replicas_converged
from hyssopway_standins.job_load import submit_jobs
from hyssopway_standins.network import Network, both_directions
from hyssopway_standins.processes import Deployment
from hyssopway_standins.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from hyssopway_standins.fleet_stand_in import FleetStandIn
    from hyssopway_standins.operator_client import OperatorClient

    Directions = set[tuple[str, str]]

# Promises 3 and 5 allow 5 s.
LIMIT_S = 5.0
PROBE_S = 0.2
VOTERS = ("nashua-1", "nashua-2", "worcester-1", "providence-1", "portland-1")
DAEMONS = (*VOTERS, "worcester-2")
# Changes of the long isolation: more than a snapshot apart, so the log no longer has what the daemon misses.
MISSED_CHANGES = 150
SNAPSHOT_ENTRIES = 50


def alone(*names: str) -> Directions:
    return both_directions(names, set(DAEMONS) - set(names))


def voters_without(leader: str) -> list[str]:
    return [name for name in VOTERS if name != leader]


def mute(leader: str) -> Directions:
    return {(leader, other) for other in DAEMONS if other != leader}


def deaf(leader: str) -> Directions:
    return {(other, leader) for other in DAEMONS if other != leader}


@dataclass(frozen=True, slots=True)
class Case:
    """A cut: what is cut given the leader, who is cut off, and how many changes they miss."""

    name: str
    cut: Callable[[str], Directions]
    cut_off: Callable[[str], set[str]]
    changes: int = 1


CASES = [
    Case("one member", lambda _: alone("portland-1"), lambda _: {"portland-1"}),
    Case(
        "a whole zone",
        lambda _: alone("nashua-1", "nashua-2"),
        lambda _: {"nashua-1", "nashua-2"},
    ),
    Case(
        "leader from two voters",
        lambda leader: both_directions([leader], voters_without(leader)[:2]),
        lambda leader: set(voters_without(leader)[:2]),
    ),
    Case(
        "leader from three voters",
        lambda leader: both_directions([leader], voters_without(leader)[:3]),
        lambda leader: {leader},
    ),
    Case("leader cannot send", mute, lambda leader: {leader}),
    Case("leader cannot receive", deaf, lambda leader: {leader}),
    Case("member cannot send", lambda _: mute("portland-1"), lambda _: {"portland-1"}),
    Case("member cannot receive", lambda _: deaf("portland-1"), lambda _: {"portland-1"}),
    Case("long isolation", lambda _: alone("portland-1"), lambda _: {"portland-1"}, MISSED_CHANGES),
]


@dataclass(slots=True)
class Probe:
    """Requests to one service through one daemon."""

    daemon: str
    results: list[tuple[float, int, str]] = field(default_factory=list)

    async def run(self, session: aiohttp.ClientSession, *, url: str, key: str) -> None:
        headers = {"Hyssopway-Timeout": "2"} | ({"Authorization": f"Bearer {key}"} if key else {})
        while True:
            sent_at = time.monotonic()
            try:
                async with session.post(url, data=b"x", headers=headers) as answer:
                    body = await answer.read()
                    self.results.append((sent_at, answer.status, body[:200].decode()))
            except (aiohttp.ClientError, TimeoutError) as error:
                self.results.append((sent_at, 0, repr(error)))
            await asyncio.sleep(PROBE_S)

    def both_directions(self, start: float, end: float) -> Counter[int]:
        return Counter(status for sent_at, status, _ in self.results if start < sent_at < end)


@pytest.fixture
async def network() -> AsyncIterator[Network]:
    opened = Network()
    yield opened
    await opened.close()


@pytest.fixture
async def deployment(tmp_path: Path, network: Network) -> AsyncIterator[Deployment]:
    """Six daemons that reach one another through the relays."""
    overrides = {"snapshot_entries": SNAPSHOT_ENTRIES}
    prepared = Deployment.prepare(name="pantry", folder=tmp_path, overrides=overrides)
    await network.attach(prepared)
    prepared.start()
    try:
        await prepared.wait_ready()
        yield prepared
    finally:
        prepared.stop()


@pytest.mark.faults
@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
async def test_promises_hold_in_a_partition(
    deployment: Deployment,
    network: Network,
    operator: OperatorClient,
    fleet_stand_in: FleetStandIn,
    session: aiohttp.ClientSession,
    *,
    case: Case,
):
    """Guards against work on a withdrawn key or zone behind a cut, and states that differ after it."""
    key = await operator.grant_key("casco-bay")
    leader = await find_leader(operator)
    cut_off = case.cut_off(leader)
    majority = [name for name in DAEMONS if name not in cut_off]
    zone = deployment.daemons[min(cut_off)].zone
    operator.url = url = deployment.daemons[majority[0]].url
    keyed = [Probe(name) for name in DAEMONS]
    queues = [Probe(name) for name in DAEMONS]
    await wait_until(lambda: all_registered(operator))
    await wait_until(lambda: all_served(session, deployment, key=key))
    async with asyncio.TaskGroup() as group:
        load = [
            group.create_task(probe.run(session, url=target(deployment, probe, path), key=secret))
            for probes, path, secret in ((keyed, "restock-plan/p", key), (queues, "pickup-schedule/p", ""))
            for probe in probes
        ]
        jobs = submit_jobs(
            session,
            url=url,
            key=await operator.grant_key("granite-hearth"),
            pools=("restock", "pickup"),
            accepted=[],
            duration_s=60,
        )
        load.append(group.create_task(jobs))
        await wait_until(lambda: started_in(fleet_stand_in, zone))
        network.cut(case.cut(leader))
        cut_at = time.monotonic()
        await wait_until(lambda: try_withdraw(operator, key), timeout_s=LIMIT_S)
        withdrawn_at = time.monotonic()
        await operator.post(f"/v1/zones/{zone}", {"status": "withdrawn", "expected_epoch": 0})
        zone_at = time.monotonic()
        for _ in range(case.changes):
            await operator.grant_key("casco-bay")
        # What must not happen is watched for a while behind the limit.
        await asyncio.sleep(max(0.0, zone_at + 2 * LIMIT_S - time.monotonic()))
        network.heal()
        healed_at = time.monotonic()
        for task in load:
            task.cancel()
    assert withdrawn_at - cut_at < LIMIT_S
    for probe in keyed:
        statuses = probe.both_directions(withdrawn_at + LIMIT_S, healed_at + LIMIT_S)
        assert statuses, probe.daemon
        assert set(statuses) <= {403, 503}, (probe.daemon, probe.results[-5:])
    # Endpoints announce themselves to the first entry of their zone; another entry knows them through it only.
    homes = {deployment.entries(deployment.daemons[name].zone)[0] for name in cut_off}
    for probe in queues:
        if deployment.daemons[probe.daemon].url in homes:
            served = probe.both_directions(cut_at + LIMIT_S, healed_at)
            assert served[200] >= sum(served.values()) - 1 > 0, (probe.daemon, probe.results[-5:])
    starts = [
        start[0]
        for worker in fleet_stand_in.workers.values()
        if worker.zone == zone
        for start in worker.starts
    ]
    assert not [at - zone_at for at in starts if at > zone_at + LIMIT_S]
    await wait_until(lambda: replicas_converged(deployment, operator), timeout_s=20)


def target(deployment: Deployment, probe: Probe, path: str) -> str:
    return f"{deployment.daemons[probe.daemon].url}/call/{path}"


async def try_withdraw(operator: OperatorClient, key: str) -> bool:
    try:
        await operator.delete(f"/v1/keys/{key.split('_')[1]}")
    except RuntimeError as error:
        # A lost answer of the first try makes the next one find the key withdrawn.
        return "KEY" in str(error)
    return True


async def all_registered(operator: OperatorClient) -> bool:
    return len((await operator.get("/v1/vms"))["vms"]) == 40


async def all_served(session: aiohttp.ClientSession, deployment: Deployment, *, key: str) -> bool:
    for daemon in deployment.daemons.values():
        headers = {"Authorization": f"Bearer {key}"}
        async with session.post(f"{daemon.url}/call/restock-plan/p", data=b"x", headers=headers) as answer:
            if answer.status != 200:
                return False
    return True


async def started_in(fleet_stand_in: FleetStandIn, zone: str) -> bool:
    return any(worker.starts for worker in fleet_stand_in.workers.values() if worker.zone == zone)
