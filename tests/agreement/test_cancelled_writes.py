"""Cancellation during store writes: the lock stays held until a write ends, and memory matches the disk."""

from __future__ import annotations

import asyncio
import random
import threading
import time
from typing import TYPE_CHECKING, Any

import pytest

from agreement.group import RecordingStateMachine
from hyssopway.agreement import (
    Configuration,
    Member,
    SnapshotAssembler,
    Store,
    Timers,
    answer_append,
    answer_snapshot,
    answer_vote,
    run_elections,
)
from hyssopway.agreement.entry import Entry
from hyssopway.agreement.messages import AppendRequest, SnapshotChunk, VoteRequest

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

TIMERS = Timers(heartbeat_s=0.01, election_min_s=0.01, election_max_s=0.02, call_s=0.2)
VOTERS = ("a/0", "b/0", "c/0")


class BlockingStore(Store):
    """A store whose writes block until a test releases them."""

    def __init__(self, *, folder: Path) -> None:
        super().__init__(folder=folder)
        self.write_started = threading.Event()
        self.released = threading.Event()
        self.released.set()

    def block(self) -> None:
        """Blocks the next writes."""
        self.write_started.clear()
        self.released.clear()

    def _wait_for_release(self) -> None:
        self.write_started.set()
        assert self.released.wait(timeout=10)

    def write_vote(self, **arguments: Any) -> None:
        self._wait_for_release()
        super().write_vote(**arguments)

    def write_entries(self, **arguments: Any) -> None:
        self._wait_for_release()
        super().write_entries(**arguments)

    def write_snapshot(self, snapshot: Any) -> None:
        self._wait_for_release()
        super().write_snapshot(snapshot)


class GrantingTransport:
    """A transport to voters that grant every vote."""

    async def vote(self, *, daemon: str, request: VoteRequest, timeout_s: float) -> Any:
        """Grants a vote."""
        return type("Reply", (), {"term": 0, "granted": True})()


@pytest.fixture
def member(tmp_path: Path) -> Member:
    member = Member(
        daemon="a",
        store=BlockingStore(folder=tmp_path),
        state_machine=RecordingStateMachine(),
        clock=time.monotonic,
        timers=TIMERS,
        snapshot_entries=1,
        started_at=float("-inf"),
    )
    member.open(initial=Configuration(voters=VOTERS))
    return member


def _append(member: Member) -> Awaitable[Any]:
    request = AppendRequest(
        term=member.term,
        leader="b/0",
        target=member.member_id,
        previous_index=0,
        previous_term=0,
        commit_index=0,
        entries=(Entry(term=1, data=b"x"),),
    )
    return answer_append(member=member, request=request)


def _install(member: Member) -> Awaitable[Any]:
    chunk = SnapshotChunk(
        term=member.term,
        leader="b/0",
        index=5,
        index_term=1,
        configuration=Configuration(voters=VOTERS).encode(),
        offset=0,
        data=b"",
        last=True,
    )
    return answer_snapshot(member=member, assembler=SnapshotAssembler(), chunk=chunk)


def _vote(member: Member) -> Awaitable[Any]:
    request = VoteRequest(
        term=3, candidate="b/0", target=member.member_id, last_index=9, last_term=9, pre_vote=False
    )
    return answer_vote(member=member, request=request)


def _campaign(member: Member) -> Awaitable[Any]:
    member.heard_at = float("-inf")
    return run_elections(member=member, transport=GrantingTransport(), rng=random.Random(1))


def _sync(member: Member) -> Awaitable[Any]:
    member.become_leader()
    return member.sync_own_log()


def _compact(member: Member) -> Awaitable[Any]:
    member.store.entries.append(Entry(term=1, data=b"x"))
    Store.write_entries(member.store, index=1, entries=member.store.entries)
    member.commit_index = 1
    member.commit_advanced.set()
    return member.apply_committed()


WRITES = {
    "append": _append,
    "install": _install,
    "vote": _vote,
    "campaign": _campaign,
    "sync": _sync,
    "compact": _compact,
}


@pytest.mark.parametrize("write", WRITES.values(), ids=WRITES)
async def test_cancelled_write_keeps_the_lock_until_it_ends(
    member: Member, write: Callable[[Member], Awaitable[Any]]
):
    """Guards against files that are closed or written by others while a cancelled caller's write still runs."""
    store = member.store
    assert isinstance(store, BlockingStore)
    store.block()
    task = asyncio.ensure_future(write(member))
    await asyncio.to_thread(store.write_started.wait, 5)
    task.cancel()
    await asyncio.sleep(0.02)
    task.cancel()  # a second cancellation must not release the lock either
    await asyncio.sleep(0.02)
    was_locked = member.lock.locked()
    store.released.set()
    await asyncio.gather(task, return_exceptions=True)
    assert was_locked
    await member.stop()


async def test_cancelled_snapshot_is_adopted_in_memory(member: Member, tmp_path: Path):
    """Guards against a cancelled compaction that truncates the log on disk but not in memory."""
    store = member.store
    assert isinstance(store, BlockingStore)
    store.block()
    task = asyncio.ensure_future(_compact(member))
    await asyncio.to_thread(store.write_started.wait, 5)
    task.cancel()
    await asyncio.sleep(0.02)
    store.released.set()
    await asyncio.gather(task, return_exceptions=True)
    async with member.lock:
        assert store.snapshot.index == 1
        assert store.log_file.first_index == 2
    await member.stop()
