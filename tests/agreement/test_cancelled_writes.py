"""Writes of the store under cancellation: none may go on without the lock, and memory must match the disk."""

from __future__ import annotations

import asyncio
import random
import threading
import time
from typing import TYPE_CHECKING, Any

import pytest

from agreement.group import Machine
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


class HeldStore(Store):
    """A store whose writes wait until a test lets them go on."""

    def __init__(self, *, folder: Path) -> None:
        super().__init__(folder=folder)
        self.begun = threading.Event()
        self.may_go_on = threading.Event()
        self.may_go_on.set()

    def hold(self) -> None:
        """Makes the next writes wait."""
        self.begun.clear()
        self.may_go_on.clear()

    def _pass(self) -> None:
        self.begun.set()
        assert self.may_go_on.wait(timeout=10)

    def write_vote(self, **arguments: Any) -> None:
        self._pass()
        super().write_vote(**arguments)

    def write_entries(self, **arguments: Any) -> None:
        self._pass()
        super().write_entries(**arguments)

    def write_snapshot(self, snapshot: Any) -> None:
        self._pass()
        super().write_snapshot(snapshot)


class GrantingTransport:
    """Voters that grant every vote and answer nothing else."""

    async def vote(self, *, daemon: str, request: VoteRequest, timeout_s: float) -> Any:
        """Grants a vote."""
        return type("Reply", (), {"term": 0, "granted": True})()


@pytest.fixture
def member(tmp_path: Path) -> Member:
    member = Member(
        daemon="a",
        store=HeldStore(folder=tmp_path),
        state_machine=Machine(),
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
    """Guards against files that are closed, or written a second time, beside a write that goes on."""
    store = member.store
    assert isinstance(store, HeldStore)
    store.hold()
    task = asyncio.ensure_future(write(member))
    await asyncio.to_thread(store.begun.wait, 5)
    task.cancel()
    await asyncio.sleep(0.02)
    task.cancel()  # a second cancellation must not free the lock either
    await asyncio.sleep(0.02)
    was_locked = member.lock.locked()
    store.may_go_on.set()
    await asyncio.gather(task, return_exceptions=True)
    assert was_locked
    await member.stop()


async def test_cancelled_snapshot_is_adopted_in_memory(member: Member, tmp_path: Path):
    """Guards against a log in memory that begins elsewhere than the one on disk."""
    store = member.store
    assert isinstance(store, HeldStore)
    store.hold()
    task = asyncio.ensure_future(_compact(member))
    await asyncio.to_thread(store.begun.wait, 5)
    task.cancel()
    await asyncio.sleep(0.02)
    store.may_go_on.set()
    await asyncio.gather(task, return_exceptions=True)
    async with member.lock:
        assert store.snapshot.index == 1
        assert store.log_file.first_index == 2
    await member.stop()
