"""Linearizability of promotions and reads during elections and partitions."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import pytest

from .group import NAMES
from .linearizability import PENDING, REFUSED, Operation, is_linearizable

if TYPE_CHECKING:
    from .group import Group, Node

HISTORIES = [
    ("read after promotion", [(0, 1, 0, 1), (2, 3, None, 1)], True),
    ("stale read", [(0, 1, 0, 1), (2, 3, None, 0)], False),
    ("overlapping read", [(0, 3, 0, 1), (1, 2, None, 0)], True),
    ("generation goes back", [(0, 9, 0, 1), (1, 2, None, 1), (3, 4, None, 0)], False),
    ("two promotions of one generation", [(0, 2, 0, 1), (1, 3, 0, 1)], False),
    ("lost answer that took effect", [(0, PENDING, 0, None), (2, 3, None, 1)], True),
    ("lost answer without effect", [(0, PENDING, 0, None), (2, 3, None, 0)], True),
    ("refused without a reason", [(0, 1, 0, REFUSED)], False),
    ("second of two is refused", [(0, 2, 0, 1), (1, 3, 0, REFUSED)], True),
]


@pytest.mark.parametrize(("name", "calls", "expected"), HISTORIES, ids=[item[0] for item in HISTORIES])
def test_checker(name: str, calls: list[tuple[float, float, int | None, int | None]], expected: bool):
    """Guards against a checker that accepts histories which are not linearizable."""
    history = [Operation(start=a, end=b, expected=c, result=d) for a, b, c, d in calls]
    assert is_linearizable(history) is expected


def generation_at(node: Node) -> int:
    """Returns the generation after replaying the commands that a member has applied."""
    generation = 0
    for command in node.state_machine.commands:
        generation += int(command) == generation
    return generation


async def promote(group: Group, rng: random.Random, history: list[Operation]) -> None:
    node = group.nodes[rng.choice(NAMES)]
    expected = generation_at(node)
    start = time.monotonic()
    result = await node.member.propose(data=b"%d" % expected, timeout_s=0.5)
    end = time.monotonic()
    if result.is_error():
        if result.error.work == "may_have_run":
            history.append(Operation(start=start, end=PENDING, expected=expected))
        return
    before = 0
    for index, data in node.state_machine.applied:
        if index == result.ok.index:
            break
        before += bool(data) and int(data) == before
    answer = expected + 1 if before == expected else REFUSED
    history.append(Operation(start=start, end=end, expected=expected, result=answer))


async def read(group: Group, rng: random.Random, history: list[Operation]) -> None:
    node = group.nodes[rng.choice(NAMES)]
    start = time.monotonic()
    index = await node.member.read_index(timeout_s=0.5)
    if index.is_error():
        return
    deadline = time.monotonic() + 2
    while node.member.applied_index < index.ok:
        if time.monotonic() > deadline:
            return
        await asyncio.sleep(0.005)
    history.append(Operation(start=start, end=time.monotonic(), result=generation_at(node)))


def has_enough(history: list[Operation]) -> bool:
    """Returns whether there were enough reads and promotions to judge."""
    reads = sum(operation.expected is None for operation in history)
    return reads > 3 and len(history) - reads > 3


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_promotions_and_reads_are_linearizable(group: Group, seed: int):
    """Guards against a stale read from a deposed leader and against a promotion that is reverted."""
    rng = random.Random(seed)
    history: list[Operation] = []
    await group.wait_for_leader()
    deadline = time.monotonic() + 6

    def goes_on() -> bool:
        # Pauses of the process cause elections, during which nothing is done.
        return time.monotonic() < deadline or not has_enough(history)

    async def call() -> None:
        while goes_on():
            await rng.choice((promote, read))(group, rng, history)
            await asyncio.sleep(rng.uniform(0.01, 0.05))

    async def block_links() -> None:
        while goes_on():
            leaders = [name for name, node in group.nodes.items() if node.member.is_leader]
            victim = rng.choice(leaders or NAMES)
            if rng.random() < 0.5:
                group.partition(victim)
            else:
                group.blocked_links = {(victim, other) for other in NAMES if other != victim}
            await asyncio.sleep(rng.uniform(0.3, 1.0))
            group.blocked_links.clear()
            await asyncio.sleep(rng.uniform(0.3, 1.0))

    await asyncio.gather(*(call() for _ in range(4)), block_links())
    assert has_enough(history)
    assert is_linearizable(history)
