"""Followers that missed changes, over a client that calls the handlers of the upstream directly."""

from __future__ import annotations

import asyncio
import math
import time
from typing import Any

import pytest

from hyssopway.control import Envelope, encode_envelope
from hyssopway.control.command import GrantKey
from hyssopway.daemon import peer_calls
from hyssopway.daemon.peer_calls import PeerCallHandler
from hyssopway.peer import PeerUnreachableError
from hyssopway.replica import AUTHORITY_TTL_S, Freshness, Replica, follow_upstream
from hyssopway.replica.following import _read_snapshot, _watch_once


class Upstream:
    """A daemon with a replica; stands for its client too."""

    def __init__(self) -> None:
        self.replica = Replica()
        self.freshness = Freshness(clock=time.monotonic)
        self.calls = PeerCallHandler(
            member=None,
            proposer=None,
            replica=self.replica,
            freshness=self.freshness,
            ledger=None,  # type: ignore[arg-type]
            router=None,  # type: ignore[arg-type]
        )
        self.delay_s = 0.0
        self.reachable = True
        self.asked = 0

    def fill(self, count: int) -> None:
        """Applies and confirms that many changes."""
        for _ in range(count):
            index = self.replica.applied_index + 1
            command = GrantKey(
                key_id=f"k{index}", key_hash="0" * 64, team="t", request_id=f"r{index}", operator="o"
            )
            data = encode_envelope(Envelope(at_ms=index, wall_ms=index, command=command))
            self.replica.apply(index=index, data=data)
        self.freshness.confirm(at=time.monotonic())

    async def watch(self, *, from_index: int, wait_s: float, timeout_s: float) -> Any:
        """Asks for entries."""
        self.asked += 1
        if not self.reachable:
            raise PeerUnreachableError("cut")
        reply = await self.calls.watch(daemon="f", from_index=from_index, wait_s=wait_s)
        await asyncio.sleep(self.delay_s)
        return reply

    async def read_snapshot(self, *, offset: int, timeout_s: float) -> Any:
        """Asks for a part of the state."""
        await asyncio.sleep(0)
        return await self.calls.read_snapshot(offset=offset)


async def test_watcher_is_confirmed_only_up_to_its_contact_that_the_leader_knows():
    """Guards against a home without a log that renews leases after the leader has ended its runs."""
    upstream = Upstream()
    upstream.fill(1)
    upstream.calls.reported_contacts = {}
    unknown = await upstream.calls.watch(daemon="f", from_index=1, wait_s=0.0)
    assert math.isinf(unknown.confirmed_age_s)
    upstream.calls.reported_contacts["f"] = time.monotonic() - 2.0
    known = await upstream.calls.watch(daemon="f", from_index=1, wait_s=0.0)
    assert 2.0 <= known.confirmed_age_s < 3.0


class Directory:
    """Clients by name."""

    def __init__(self, upstreams: dict[str, Upstream]) -> None:
        self.upstreams = upstreams

    def client(self, name: str) -> Any:
        """Returns the client of a daemon."""
        return self.upstreams[name]


def follow(replica: Replica, freshness: Freshness, **upstreams: Upstream) -> asyncio.Task[None]:
    directory: Any = Directory(upstreams)
    return asyncio.create_task(
        follow_upstream(replica=replica, freshness=freshness, peers=directory, upstreams=list(upstreams))
    )


async def reach(replica: Replica, index: int) -> None:
    assert await replica.wait_beyond(index - 1, timeout_s=20), replica.applied_index


@pytest.mark.parametrize(("missed", "snapshots"), [(1, 0), (300, 0), (1999, 0), (10_000, 1)])
async def test_follower_catches_up(monkeypatch: pytest.MonkeyPatch, missed: int, snapshots: int):
    """Guards against a follower that stays behind or skips an entry."""
    monkeypatch.setattr(peer_calls, "SNAPSHOT_PART_BYTES", 300_000)
    upstream, replica, freshness = Upstream(), Replica(), Freshness(clock=time.monotonic)
    upstream.fill(missed)
    task = follow(replica, freshness, a=upstream)
    await reach(replica, missed)
    upstream.fill(10)
    await reach(replica, missed + 10)
    task.cancel()
    assert replica.encode_snapshot() == upstream.replica.encode_snapshot()
    assert bool(upstream.replica.snapshot[0]) == bool(snapshots)
    assert freshness.is_valid


async def test_snapshot_replaced_while_it_is_read_is_not_mixed(monkeypatch: pytest.MonkeyPatch):
    """Guards against a state put together from parts of two snapshots."""
    monkeypatch.setattr(peer_calls, "SNAPSHOT_PART_BYTES", 1000)
    upstream, replica = Upstream(), Replica()
    upstream.fill(3000)
    client: Any = upstream
    reading = asyncio.create_task(_read_snapshot(client=client, replica=replica))
    await asyncio.sleep(0.005)
    upstream.fill(3000)
    await upstream.calls.read_snapshot(offset=0)
    await reading
    assert replica.applied_index == 0
    await _read_snapshot(client=client, replica=replica)
    assert replica.applied_index == 6000


async def test_many_followers_share_one_snapshot(monkeypatch: pytest.MonkeyPatch):
    """Guards against an encoding of the whole state for each of many followers that start together."""
    encoded = []
    plain = Replica.encode_snapshot
    monkeypatch.setattr(Replica, "encode_snapshot", lambda self: encoded.append(1) or plain(self))
    upstream = Upstream()
    upstream.fill(3000)
    replicas = [Replica() for _ in range(60)]
    tasks = [follow(replica, Freshness(clock=time.monotonic), a=upstream) for replica in replicas]
    for number in range(20):
        upstream.fill(1)
        await asyncio.sleep(0.002 * (number % 3))
    await asyncio.gather(*(reach(replica, 3020) for replica in replicas))
    for task in tasks:
        task.cancel()
    assert len(encoded) <= 2


async def test_followers_do_not_flood_an_unreachable_upstream():
    """Guards against a herd of followers that ask a new upstream without a pause."""
    upstream = Upstream()
    upstream.reachable = False
    tasks = [follow(Replica(), Freshness(clock=time.monotonic), a=upstream) for _ in range(20)]
    await asyncio.sleep(1)
    for task in tasks:
        task.cancel()
    assert upstream.asked <= 20 * 11


async def test_applied_index_never_goes_back_to_a_lagging_upstream():
    """Guards against a change of upstream or a restored snapshot that takes a follower back."""
    ahead, lagging = Upstream(), Upstream()
    ahead.fill(2500)
    lagging.fill(2200)
    replica, freshness = Replica(), Freshness(clock=time.monotonic)
    seen: list[int] = []
    task = follow(replica, freshness, a=ahead, b=lagging)
    await reach(replica, 2500)
    ahead.reachable = False
    for _ in range(20):
        seen.append(replica.applied_index)
        await asyncio.sleep(0.05)
    task.cancel()
    replica.restore_snapshot(lagging.replica.encode_snapshot())
    assert {*seen, replica.applied_index} == {2500}


@pytest.mark.parametrize("delay_s", [0.0, 0.2, 0.4])
@pytest.mark.parametrize("upstream_age_s", [0.0, 1.0, AUTHORITY_TTL_S - 0.1])
async def test_confirmed_time_is_never_later_than_that_of_the_upstream(delay_s: float, upstream_age_s: float):
    """Guards against a slow answer or a process that was stopped making old state look fresh."""
    upstream, replica, freshness = Upstream(), Replica(), Freshness(clock=time.monotonic)
    upstream.fill(1)
    upstream.freshness.confirmed_at = time.monotonic() - upstream_age_s
    upstream.delay_s = delay_s
    client: Any = upstream
    await _watch_once(client=client, replica=replica, freshness=freshness)
    assert freshness.confirmed_at <= upstream.freshness.confirmed_at
    assert freshness.confirmed_at >= upstream.freshness.confirmed_at - delay_s - 0.1


async def test_wall_clock_steps_change_nothing(monkeypatch: pytest.MonkeyPatch):
    """Guards against authority that depends on the wall clock."""
    freshness = Freshness(clock=time.monotonic)
    freshness.confirm(at=time.monotonic())
    for step in (-1e6, 1e6):
        monkeypatch.setattr(time, "time", lambda step=step: step)
        assert freshness.is_valid
