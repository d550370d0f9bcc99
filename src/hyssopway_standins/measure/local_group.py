"""A consensus group in one process, with real files and an in-memory transport."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any

from hyssopway.agreement import (
    Configuration,
    Member,
    Role,
    SnapshotAssembler,
    Store,
    answer_append,
    answer_snapshot,
    answer_vote,
    run_elections,
    run_replication,
    run_to_completion,
)
from hyssopway.control import Envelope, encode_envelope
from hyssopway.control.command import GrantKey
from hyssopway.replica import Replica

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

NAMES = ("a", "b", "c", "d", "e")
WAIT_S = 30.0
STATE_KEYS = 2000


class GroupNode:
    """One member with its tasks."""

    __slots__ = ("assembler", "member", "replica", "tasks")

    def __init__(self, *, member: Member, replica: Replica) -> None:
        self.member = member
        self.replica = replica
        self.assembler = SnapshotAssembler()
        self.tasks: list[asyncio.Task[None]] = []


class LocalTransport:
    """Transport that calls the handlers of running members directly."""

    __slots__ = ("nodes",)

    def __init__(self, *, nodes: dict[str, GroupNode]) -> None:
        self.nodes = nodes

    async def vote(self, *, daemon: str, request: Any, timeout_s: float) -> Any:
        """Implements `Transport`."""
        return await self._deliver(
            daemon, timeout_s, lambda node: answer_vote(member=node.member, request=request)
        )

    async def append(self, *, daemon: str, request: Any, timeout_s: float) -> Any:
        """Implements `Transport`."""
        return await self._deliver(
            daemon, timeout_s, lambda node: answer_append(member=node.member, request=request)
        )

    async def install_snapshot(self, *, daemon: str, chunk: Any, timeout_s: float) -> Any:
        """Implements `Transport`."""
        return await self._deliver(
            daemon,
            timeout_s,
            lambda node: answer_snapshot(member=node.member, assembler=node.assembler, chunk=chunk),
        )

    async def _deliver(self, daemon: str, timeout_s: float, answer: Callable[[GroupNode], Any]) -> Any:
        node = self.nodes.get(daemon)
        if node is None:
            raise ConnectionError(f"member {daemon} is not running")
        async with asyncio.timeout(timeout_s):
            return await run_to_completion(answer(node))


class LocalGroup:
    """Five members with real files."""

    __slots__ = ("folder", "next_key", "nodes", "rng")

    def __init__(self, *, folder: Path, seed: int) -> None:
        self.folder = folder
        self.nodes: dict[str, GroupNode] = {}
        self.rng = random.Random(seed)
        self.next_key = 0

    def start(self, *names: str) -> None:
        """Starts the named members."""
        initial = Configuration(voters=tuple(f"{name}/0" for name in NAMES))
        for name in names:
            replica = Replica()
            store = Store(folder=self.folder / name)
            member = Member(daemon=name, store=store, state_machine=replica, clock=time.monotonic)
            member.open(initial=initial)
            node = self.nodes[name] = GroupNode(member=member, replica=replica)
            transport = LocalTransport(nodes=self.nodes)
            rng = random.Random(self.rng.random())
            node.tasks = [
                asyncio.create_task(member.sync_own_log()),
                asyncio.create_task(member.apply_committed()),
                asyncio.create_task(run_elections(member=member, transport=transport, rng=rng)),
                asyncio.create_task(run_replication(member=member, transport=transport)),
            ]

    async def stop(self, *names: str) -> None:
        """Stops the named members, or all members when no name is given."""
        for name in names or tuple(self.nodes):
            node = self.nodes.pop(name)
            for task in node.tasks:
                task.cancel()
            await asyncio.gather(*node.tasks, return_exceptions=True)
            async with node.member.lock:
                node.member.role = Role.STOPPED
                node.member.store.close()

    def leader(self) -> GroupNode | None:
        """Returns the leader with the highest term."""
        leaders = [node for node in self.nodes.values() if node.member.is_leader]
        return max(leaders, key=lambda node: node.member.term, default=None)

    async def write(self) -> None:
        """Proposes a key grant and retries it until it is committed.

        Raises:
            TimeoutError: No leader accepted the change in time.
        """
        self.next_key += 1
        data = grant_key(self.next_key)
        deadline = time.monotonic() + WAIT_S
        while time.monotonic() < deadline:
            leader = self.leader()
            if leader is not None and (await leader.member.propose(data=data, timeout_s=2.0)).is_ok():
                return
            await asyncio.sleep(0.005)
        raise TimeoutError("no leader accepted the change in time")

    async def write_many(self, *, count: int, writers: int) -> None:
        """Writes `count` changes with `writers` concurrent writers."""
        left = iter(range(count))

        async def work() -> None:
            for _ in left:
                await self.write()

        await asyncio.gather(*(work() for _ in range(writers)))


def grant_key(number: int) -> bytes:
    """Returns an encoded key grant, a change of the size that operators make."""
    # Key IDs repeat, so the size of the state stays constant while the log grows.
    key_id = f"k{number % STATE_KEYS}"
    command = GrantKey(
        key_id=key_id, key_hash="0" * 64, team="team", request_id=f"r{number}", operator="operator"
    )
    return encode_envelope(Envelope(at_ms=number, wall_ms=number, command=command))


__all__ = ["NAMES", "WAIT_S", "LocalGroup", "LocalTransport", "grant_key"]
