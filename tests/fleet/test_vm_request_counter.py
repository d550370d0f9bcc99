"""Tests of counting the requests in progress on a VM."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest
from pydantic_core import to_json

from hyssopway.control.record import VmState
from hyssopway.fleet import VmRequestCounter
from hyssopway.fleet.vm_request_counter import MAX_SEND_AFTER_CONTACT_S, REPORT_TRUSTED_AFTER_S
from hyssopway.peer import PeerUnreachableError
from hyssopway_standins.fleet import EXAMPLES

TEXT = (EXAMPLES / "pantry" / "document.yaml").read_text()
LONG = TEXT.replace("timeout_s: 10\n", "timeout_s: 10\n    longest_timeout_s: 300\n", 1)
FREE = {"stopping": True, "granted": 0, "held": 0, "heard": {}}


class Peers:
    """Fake peers with a fixed answer by daemon; None for a daemon that does not answer."""

    def __init__(self) -> None:
        self.answers: dict[str, dict[str, Any] | None] = {"a": FREE, "b": FREE}

    def client(self, name: str) -> Any:
        async def exchange(*, topic, data, timeout_s):
            if self.answers[name] is None:
                raise PeerUnreachableError(name)
            return to_json(self.answers[name])

        return SimpleNamespace(exchange=exchange)


@pytest.fixture
def harness():
    time = SimpleNamespace(now=1000.0)
    tables = SimpleNamespace(
        vms={"vm": SimpleNamespace(state=VmState.DRAINING, epoch=1)},
        documents={"production": SimpleNamespace(digest="new", text=TEXT)},
        history=[],
    )
    others = {name: SimpleNamespace(heard_at=float("-inf")) for name in ("a", "b")}
    router: Any = SimpleNamespace(homes=SimpleNamespace(others=others), held_on=lambda _: 0)
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
async def test_count_is_known_only_when_every_entry_answers(harness, answer, expected):
    """Guards against a VM reported as drained while an entry has, or may still send, a request to it."""
    harness.peers.answers["b"] = answer
    assert await harness.requests.count("vm") == expected


@pytest.mark.parametrize("long", ["no", "in force", "earlier"])
async def test_silent_entry_blocks_a_drain_until_the_longest_deadline(harness, long):
    """Guards against cutting off a long request, and against drains that a dead entry blocks forever."""
    limit_s = 60.0 if long == "no" else 300.0
    if long == "in force":
        harness.tables.documents["production"].text = LONG
    elif long == "earlier":
        harness.tables.history.append(SimpleNamespace(digest="old", text=LONG))
    assert await harness.requests.count("vm") == 0
    harness.peers.answers["b"] = None
    harness.time.now += limit_s + MAX_SEND_AFTER_CONTACT_S - 0.1
    assert await harness.requests.count("vm") is None
    harness.time.now += 0.2
    assert await harness.requests.count("vm") == 0


@pytest.mark.parametrize("heard_by", ["this daemon", "another daemon"])
async def test_silence_counts_from_the_last_contact(harness, heard_by):
    """Guards against measuring silence from too early: an entry may have been in contact since, also with others."""
    harness.peers.answers["b"] = None
    assert await harness.requests.count("vm") is None
    harness.time.now += 500.0
    if heard_by == "this daemon":
        harness.others["b"].heard_at = harness.time.now - 10.0
    else:
        harness.peers.answers["a"] = FREE | {"heard": {"b": 10.0, "unknown": 1.0}}
    assert await harness.requests.count("vm") is None
    harness.time.now += 60.0 + MAX_SEND_AFTER_CONTACT_S
    harness.peers.answers["a"] = FREE
    assert await harness.requests.count("vm") == 0


async def test_stopped_entry_blocks_no_drain_until_its_next_contact(harness):
    """Guards against drains that wait for a stopped entry, and an announced stop that still counts after a restart."""
    harness.requests.record_stop("b")
    harness.peers.answers["b"] = None
    assert await harness.requests.count("vm") == 0
    harness.time.now += 10.0
    harness.others["b"].heard_at = harness.time.now
    assert await harness.requests.count("vm") is None


async def test_count_of_a_vm_ends_the_wait_for_a_dead_entry(harness):
    """Guards against a drain that waits for the longest deadline although the VM itself counts no request."""
    assert await harness.requests.count("vm", 0) == 0
    harness.peers.answers["b"] = None
    harness.time.now += REPORT_TRUSTED_AFTER_S - 0.1
    assert await harness.requests.count("vm", 0) is None
    harness.time.now += 0.2
    assert await harness.requests.count("vm", 1) == 1
    assert await harness.requests.count("vm", 0) == 0


async def test_count_of_a_vm_is_ignored_before_its_endpoints_left(harness):
    """Guards against trusting the count of a VM whose endpoints are back and may receive new requests."""
    harness.peers.answers["b"] = None
    assert await harness.requests.count("vm", 0) is None
    harness.time.now += REPORT_TRUSTED_AFTER_S + 0.1
    assert await harness.requests.count("vm", None) is None
    assert await harness.requests.count("vm", 0) is None


async def test_count_of_a_vm_does_not_replace_an_entry_that_answers(harness):
    """Guards against an entry whose replica lags behind and that may still grant credits for the VM."""
    harness.peers.answers["b"] = FREE | {"stopping": False}
    assert await harness.requests.count("vm", 0) is None
    harness.time.now += REPORT_TRUSTED_AFTER_S + 0.1
    assert await harness.requests.count("vm", 0) is None


async def test_count_of_an_earlier_drain_is_ignored(harness):
    """Guards against a VM that was back in service in between, so that its endpoints left only just now."""
    harness.peers.answers["b"] = None
    assert await harness.requests.count("vm", 0) is None
    harness.time.now += REPORT_TRUSTED_AFTER_S + 0.1
    assert await harness.requests.count("vm", 0) == 0
    harness.tables.vms["vm"].epoch += 2
    assert await harness.requests.count("vm", 0) is None
