"""Followers that lag behind, with a client that calls the handlers of the upstream directly."""

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
    """A daemon with a replica; serves as its own client too."""

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
        self.watch_calls = 0

    def add_entries(self, count: int) -> None:
        """Applies `count` entries and confirms the replica."""
        for _ in range(count):
            index = self.replica.applied_index + 1
            command = GrantKey(
                key_id=f"k{index}", key_hash="0" * 64, team="t", request_id=f"r{index}", operator="o"
            )
            data = encode_envelope(Envelope(at_ms=index, wall_ms=index, command=command))
            self.replica.apply(index=index, data=data)
        self.freshness.confirm(at=time.monotonic())

    async def watch(self, *, from_index: int, wait_s: float, timeout_s: float) -> Any:
        """Returns entries, or fails when unreachable."""
        self.watch_calls += 1
        if not self.reachable:
            raise PeerUnreachableError("cut")
        reply = await self.calls.watch(daemon="f", from_index=from_index, wait_s=wait_s)
        await asyncio.sleep(self.delay_s)
        return reply

    async def read_snapshot(self, *, offset: int, timeout_s: float) -> Any:
        """Returns a part of the snapshot."""
        await asyncio.sleep(0)
        return await self.calls.read_snapshot(offset=offset)


async def test_watcher_is_confirmed_only_up_to_its_last_contact_known_to_leader():
    """Guards against a home without a log that renews leases after the leader ended its runs."""
    upstream = Upstream()
    upstream.add_entries(1)
    upstream.calls.reported_contacts = {}
    unreported = await upstream.calls.watch(daemon="f", from_index=1, wait_s=0.0)
    assert math.isinf(unreported.confirmed_age_s)
    upstream.calls.reported_contacts["f"] = time.monotonic() - 2.0
    reported = await upstream.calls.watch(daemon="f", from_index=1, wait_s=0.0)
    assert 2.0 <= reported.confirmed_age_s < 3.0


class FakeDirectory:
    """Upstreams by daemon name, in place of a `PeerDirectory`."""

    def __init__(self, upstreams: dict[str, Upstream]) -> None:
        self.upstreams = upstreams

    def client(self, name: str) -> Any:
        """Returns the upstream of that name."""
        return self.upstreams[name]


def follow(replica: Replica, freshness: Freshness, **upstreams: Upstream) -> asyncio.Task[None]:
    directory: Any = FakeDirectory(upstreams)
    return asyncio.create_task(
        follow_upstream(replica=replica, freshness=freshness, peers=directory, upstreams=list(upstreams))
    )


async def wait_for_index(replica: Replica, index: int) -> None:
    assert await replica.wait_applied_past(index - 1, timeout_s=20), replica.applied_index


@pytest.mark.parametrize(("missed", "snapshots"), [(1, 0), (300, 0), (1999, 0), (10_000, 1)])
async def test_follower_catches_up(monkeypatch: pytest.MonkeyPatch, missed: int, snapshots: int):
    """Guards against a follower that keeps lagging or skips an entry."""
    monkeypatch.setattr(peer_calls, "SNAPSHOT_PART_BYTES", 300_000)
    upstream, replica, freshness = Upstream(), Replica(), Freshness(clock=time.monotonic)
    upstream.add_entries(missed)
    task = follow(replica, freshness, a=upstream)
    await wait_for_index(replica, missed)
    upstream.add_entries(10)
    await wait_for_index(replica, missed + 10)
    task.cancel()
    assert replica.encode_snapshot() == upstream.replica.encode_snapshot()
    assert bool(upstream.replica.snapshot[0]) == bool(snapshots)
    assert freshness.is_valid


class ReplacingUpstream(Upstream):
    """An upstream that replaces its snapshot once, while a follower has read some of its parts.

    Attributes:
        replaced_after: Share of the snapshot after which it is replaced, between the first and the last part.
        read_parts: Number of parts read before the snapshot was replaced; None until then.
        missing_parts: Number of parts that had not been read by then.
    """

    def __init__(self, *, replaced_after: float) -> None:
        super().__init__()
        self.replaced_after = replaced_after
        self.read_parts: int | None = None
        self.missing_parts = 0

    async def read_snapshot(self, *, offset: int, timeout_s: float) -> Any:
        """Returns a part of the snapshot, which is replaced before the part that `replaced_after` names."""
        if offset and self.read_parts is None:
            total_parts = math.ceil(len(self.replica.snapshot[1]) / peer_calls.SNAPSHOT_PART_BYTES)
            read_parts = offset // peer_calls.SNAPSHOT_PART_BYTES
            if read_parts >= min(self.replaced_after * total_parts, total_parts - 1):
                self.read_parts, self.missing_parts = read_parts, total_parts - read_parts
                self.add_entries(3000)
                await self.calls.read_snapshot(offset=0)
        return await super().read_snapshot(offset=offset, timeout_s=timeout_s)


@pytest.mark.parametrize(
    "replaced_after", [0.0, 0.5, 1.0], ids=["first part", "half", "all but the last part"]
)
async def test_snapshot_replaced_during_a_read_is_discarded(
    monkeypatch: pytest.MonkeyPatch, replaced_after: float
):
    """Guards against a state assembled from parts of two snapshots."""
    monkeypatch.setattr(peer_calls, "SNAPSHOT_PART_BYTES", 1000)
    upstream, replica = ReplacingUpstream(replaced_after=replaced_after), Replica()
    upstream.add_entries(3000)
    client: Any = upstream
    await _read_snapshot(client=client, replica=replica)
    assert upstream.read_parts
    assert upstream.missing_parts
    assert upstream.replica.snapshot[0] == 6000
    assert replica.applied_index == 0
    await _read_snapshot(client=client, replica=replica)
    assert replica.applied_index == 6000


async def test_many_followers_share_one_snapshot(monkeypatch: pytest.MonkeyPatch):
    """Guards against encoding the whole state once for each of many followers that start together."""
    encodings = []
    original = Replica.encode_snapshot
    monkeypatch.setattr(Replica, "encode_snapshot", lambda self: encodings.append(1) or original(self))
    upstream = Upstream()
    upstream.add_entries(3000)
    replicas = [Replica() for _ in range(60)]
    tasks = [follow(replica, Freshness(clock=time.monotonic), a=upstream) for replica in replicas]
    for number in range(20):
        upstream.add_entries(1)
        await asyncio.sleep(0.002 * (number % 3))
    await asyncio.gather(*(wait_for_index(replica, 3020) for replica in replicas))
    for task in tasks:
        task.cancel()
    assert len(encodings) <= 2


async def test_followers_do_not_flood_an_unreachable_upstream():
    """Guards against followers that call an upstream again and again without a pause."""
    upstream = Upstream()
    upstream.reachable = False
    tasks = [follow(Replica(), Freshness(clock=time.monotonic), a=upstream) for _ in range(20)]
    await asyncio.sleep(1)
    for task in tasks:
        task.cancel()
    assert upstream.watch_calls <= 20 * 11


async def test_applied_index_never_decreases_with_a_lagging_upstream():
    """Guards against a change of upstream or an older snapshot that moves a follower back."""
    ahead, lagging = Upstream(), Upstream()
    ahead.add_entries(2500)
    lagging.add_entries(2200)
    replica, freshness = Replica(), Freshness(clock=time.monotonic)
    indexes: list[int] = []
    task = follow(replica, freshness, a=ahead, b=lagging)
    await wait_for_index(replica, 2500)
    ahead.reachable = False
    for _ in range(20):
        indexes.append(replica.applied_index)
        await asyncio.sleep(0.05)
    task.cancel()
    replica.restore_snapshot(lagging.replica.encode_snapshot())
    assert {*indexes, replica.applied_index} == {2500}


@pytest.mark.parametrize("delay_s", [0.0, 0.2, 0.4])
@pytest.mark.parametrize("upstream_age_s", [0.0, 1.0, AUTHORITY_TTL_S - 0.1])
async def test_confirmed_time_never_exceeds_that_of_upstream(delay_s: float, upstream_age_s: float):
    """Guards against a slow reply or a suspended process that makes stale state look fresh."""
    upstream, replica, freshness = Upstream(), Replica(), Freshness(clock=time.monotonic)
    upstream.add_entries(1)
    upstream.freshness.confirmed_at = time.monotonic() - upstream_age_s
    upstream.delay_s = delay_s
    client: Any = upstream
    await _watch_once(client=client, replica=replica, freshness=freshness)
    assert freshness.confirmed_at <= upstream.freshness.confirmed_at
    assert freshness.confirmed_at >= upstream.freshness.confirmed_at - delay_s - 0.1


async def test_wall_clock_steps_do_not_affect_freshness(monkeypatch: pytest.MonkeyPatch):
    """Guards against validity that depends on the wall clock."""
    freshness = Freshness(clock=time.monotonic)
    freshness.confirm(at=time.monotonic())
    for step in (-1e6, 1e6):
        monkeypatch.setattr(time, "time", lambda step=step: step)
        assert freshness.is_valid
