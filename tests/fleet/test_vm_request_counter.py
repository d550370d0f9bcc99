"""When a VM counts as free of requests."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest
from pydantic_core import to_json

from hyssopway.control.record import VmState
from hyssopway.fleet import VmRequestCounter
from hyssopway.fleet.vm_request_counter import LAST_START_S, LEFT_S
from hyssopway.peer import PeerUnreachableError
from hyssopway_standins.fleet import EXAMPLES

TEXT = (EXAMPLES / "pantry" / "document.yaml").read_text()
LONG = TEXT.replace("timeout_s: 10\n", "timeout_s: 10\n    longest_timeout_s: 300\n", 1)
FREE = {"stopping": True, "granted": 0, "held": 0, "heard": {}}


class Peers:
    """Answers by daemon; None is silence."""

    def __init__(self) -> None:
        self.answers: dict[str, dict[str, Any] | None] = {"a": FREE, "b": FREE}

    def client(self, name: str) -> Any:
        async def exchange(*, topic, data, timeout_s):
            if self.answers[name] is None:
                raise PeerUnreachableError(name)
            return to_json(self.answers[name])

        return SimpleNamespace(exchange=exchange)


@pytest.fixture
def world():
    time = SimpleNamespace(now=1000.0)
    tables = SimpleNamespace(
        vms={"vm": SimpleNamespace(state=VmState.DRAINING, epoch=1)},
        documents={"production": SimpleNamespace(digest="new", text=TEXT)},
        history=[],
    )
    others = {name: SimpleNamespace(heard_at=float("-inf")) for name in ("a", "b")}
    router: Any = SimpleNamespace(homes=SimpleNamespace(others=others), count_credits_on=lambda _: 0)
    ledger: Any = SimpleNamespace(clock=lambda: time.now, grants={})
    replica: Any = SimpleNamespace(state=SimpleNamespace(tables=tables))
    peers: Any = Peers()
    requests = VmRequestCounter(ledger=ledger, router=router, peers=peers, replica=replica)
    return SimpleNamespace(time=time, tables=tables, peers=peers, requests=requests, others=others)


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (FREE, 0),
        (FREE | {"held": 2}, 2),
        (FREE | {"granted": 1}, 1),
        (FREE | {"stopping": False}, None),
        (None, None),
    ],
    ids=["free", "request in progress", "credit out", "replica behind", "silent"],
)
async def test_every_entry_must_be_free(world, answer, expected):
    """Guards against a VM reported as drained while an entry has or may start a request there."""
    world.peers.answers["b"] = answer
    assert await world.requests.count("vm") == expected


@pytest.mark.parametrize("long", ["no", "in force", "earlier"])
async def test_silent_entry_blocks_until_its_longest_deadline(world, long):
    """Guards against cutting a long request off, and against drains that a dead entry blocks for ever."""
    limit_s = 60.0 if long == "no" else 300.0
    if long == "in force":
        world.tables.documents["production"].text = LONG
    elif long == "earlier":
        world.tables.history.append(SimpleNamespace(digest="old", text=LONG))
    assert await world.requests.count("vm") == 0
    world.peers.answers["b"] = None
    world.time.now += limit_s + LAST_START_S - 0.1
    assert await world.requests.count("vm") is None
    world.time.now += 0.2
    assert await world.requests.count("vm") == 0


@pytest.mark.parametrize("heard_by", ["this daemon", "another daemon"])
async def test_silence_counts_from_the_last_contact(world, heard_by):
    """Guards against an earlier silence, or one towards this daemon alone, taken for the present one."""
    world.peers.answers["b"] = None
    assert await world.requests.count("vm") is None
    world.time.now += 500.0
    if heard_by == "this daemon":
        world.others["b"].heard_at = world.time.now - 10.0
    else:
        world.peers.answers["a"] = FREE | {"heard": {"b": 10.0, "unknown": 1.0}}
    assert await world.requests.count("vm") is None
    world.time.now += 60.0 + LAST_START_S
    world.peers.answers["a"] = FREE
    assert await world.requests.count("vm") == 0


async def test_stopped_entry_blocks_no_drain_until_it_is_heard_again(world):
    """Guards against drains that wait for a planned stop, and a stop that counts after a new start."""
    world.requests.record_stop("b")
    world.peers.answers["b"] = None
    assert await world.requests.count("vm") == 0
    world.time.now += 10.0
    world.others["b"].heard_at = world.time.now
    assert await world.requests.count("vm") is None


async def test_count_of_a_vm_ends_the_wait_for_a_dead_entry(world):
    """Guards against a drain that waits a whole deadline for requests that the VM does not have."""
    assert await world.requests.count("vm", 0) == 0
    world.peers.answers["b"] = None
    world.time.now += LEFT_S - 0.1
    assert await world.requests.count("vm", 0) is None
    world.time.now += 0.2
    assert await world.requests.count("vm", 1) == 1
    assert await world.requests.count("vm", 0) == 0


async def test_count_of_a_vm_says_nothing_before_its_endpoints_left(world):
    """Guards against a silent entry that sends a request to an endpoint which came back."""
    world.peers.answers["b"] = None
    assert await world.requests.count("vm", 0) is None
    world.time.now += LEFT_S + 0.1
    assert await world.requests.count("vm", None) is None
    assert await world.requests.count("vm", 0) is None


async def test_count_of_a_vm_does_not_replace_an_entry_that_answers(world):
    """Guards against an entry with an old state whose credits the VM cannot see."""
    world.peers.answers["b"] = FREE | {"stopping": False}
    assert await world.requests.count("vm", 0) is None
    world.time.now += LEFT_S + 0.1
    assert await world.requests.count("vm", 0) is None


async def test_count_of_an_earlier_drain_says_nothing_of_the_present_one(world):
    """Guards against a VM that worked in between: its endpoints left a moment ago, not at the first drain."""
    world.peers.answers["b"] = None
    assert await world.requests.count("vm", 0) is None
    world.time.now += LEFT_S + 0.1
    assert await world.requests.count("vm", 0) == 0
    world.tables.vms["vm"].epoch += 2
    assert await world.requests.count("vm", 0) is None
