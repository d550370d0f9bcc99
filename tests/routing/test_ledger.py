"""Issuing of credits and their transfer to a new home."""

from __future__ import annotations

import asyncio

import pytest

from hyssopway.peer import CreditRequest
from hyssopway.routing import CREDIT_LEASE_S
from hyssopway.routing.fairness import fair_shares
from hyssopway.routing.held_credit_collector import MAX_BLOCK_S

LOOP_ROUNDS = 50


def _request_credits(entry, daemon: str, **fields):
    return entry.ledger.handle_request(
        CreditRequest(daemon=daemon, environment="production", service="plan", **fields)
    )


def _ids(reply) -> tuple[int, ...]:
    return tuple(credit.credit_id for credit in reply.credits)


def test_sum_of_credits_never_exceeds_slots(make_entry, clock):
    """Guards against more requests in progress than an endpoint has slots."""
    home = make_entry("home")
    for name in ("a", "b"):
        home.announce(name)
    received = [len(_request_credits(home, f"daemon-{number}", wanted=5).credits) for number in range(6)]
    assert sum(received) == 16
    clock.now += CREDIT_LEASE_S
    assert not _request_credits(home, "late", wanted=1).credits  # the holders may still use their credits
    clock.now += 0.2
    home.announce("a")
    assert len(_request_credits(home, "late", wanted=20, avoided=("b",)).credits) == 8


def test_connections_are_divided_between_entries(make_entry):
    """Guards against one entry using the connection limits of the others."""
    home = make_entry("home")
    home.announce("a", slots=8, connections=12)
    assert len(_request_credits(home, "one", wanted=8).credits) == 2


def test_new_endpoint_has_slow_start(make_entry):
    """Guards against full load on a newly started endpoint."""
    home = make_entry("home")
    home.announce("a", age_s=0.0)
    assert len(_request_credits(home, "one", wanted=8).credits) == 2


@pytest.mark.parametrize("cause", ["left", "lease ended", "VM drained"])
def test_departing_endpoint_gets_no_new_work_and_credits_are_recalled(make_entry, clock, cause):
    """Guards against new requests to an endpoint that left, stopped renewing its lease or is drained."""
    home = make_entry("home")
    home.announce("a")
    held = _ids(_request_credits(home, "one", wanted=2))
    match cause:
        case "left":
            home.registry.remove(name="a", reason="left")
        case "lease ended":
            home.registry.endpoints["a"].expires_at = clock.now
        case _:
            home.registry.may_serve = lambda _: False
    reply = _request_credits(home, "one", wanted=1, renewed=held)
    assert not reply.credits
    assert reply.renewed == held  # requests in progress keep their slots
    assert reply.recalled == held


def test_restarted_endpoint_does_not_keep_credits_of_its_old_address(make_entry):
    """Guards against requests to the address of a process that has ended."""
    home = make_entry("home")
    home.announce("a")
    held = _ids(_request_credits(home, "one", wanted=2))
    home.registry.endpoints["a"].announcement = home.registry.endpoints["a"].announcement.__class__(
        service="plan", address="http://elsewhere:1"
    )
    assert not _request_credits(home, "one", renewed=held).renewed


def test_credits_are_recalled_from_holder_of_all_slots_when_others_wait(make_entry):
    """Guards against one entry that keeps all slots during a burst."""
    home = make_entry("home")
    home.announce("a")
    held = _ids(_request_credits(home, "one", wanted=8))
    assert not _request_credits(home, "two", wanted=8).credits
    recalled = _request_credits(home, "one", renewed=held, waiting=50).recalled
    assert len(recalled) == 4
    _request_credits(home, "one", returned=recalled, waiting=50)
    assert len(_request_credits(home, "two", wanted=8).credits) == 4


@pytest.mark.parametrize(
    ("demands", "slots", "expected"),
    [
        ({"a": 3, "b": 3}, 8, {"a": 3, "b": 3}),
        ({"a": 9, "b": 9}, 8, {"a": 4, "b": 4}),
        ({"a": 1, "b": 9, "c": 9}, 8, {"a": 1, "b": 3, "c": 4}),
        ({"a": 0, "b": 0}, 8, {"a": 0, "b": 0}),
    ],
)
def test_fair_shares(demands, slots, expected):
    """Guards against shares whose sum wastes slots or exceeds them."""
    assert fair_shares(demands=demands, slots=slots) == expected


@pytest.mark.parametrize(
    "unreachable",
    [set(), {"old"}, {"holder"}, {"old", "holder"}],
    ids=["all answer", "old home unreachable", "holder unreachable", "both unreachable"],
)
async def test_new_home_adopts_outstanding_credits(make_entry, peers, clock, share_summaries, unreachable):
    """Guards against issuing slots twice: daemons still hold credits issued by the former home."""
    old, holder = make_entry("old"), make_entry("holder")
    old.announce("a")
    share_summaries(holder)
    deadline = clock.now + 9
    held = (await holder.router.acquire(environment="production", service="plan", deadline=deadline)).ok
    new = make_entry("new")
    peers.caller = "new"
    peers.unreachable = unreachable
    new.registry.on_new_endpoint = new.collector.start
    new.announce("a")
    (task,) = new.collector.tasks
    await _run_ready_tasks()
    free_at_first = 0 if unreachable else 7
    assert len(_request_credits(new, "new", wanted=8).credits) == free_at_first
    assert new.ledger.issued["a"] == free_at_first + ("holder" not in unreachable)
    if "holder" not in unreachable:
        assert held.home == "new"  # later renewals go to the new home
    if "old" not in unreachable:
        assert not old.registry.endpoints
    clock.now += MAX_BLOCK_S
    await task
    new.registry.endpoints["a"].expires_at = clock.now + 1.0  # the endpoint kept renewing its lease
    assert len(_request_credits(new, "new", wanted=8).credits) == 8
    holder.router.close()


@pytest.mark.parametrize(
    ("case", "free"),
    [
        ("dead", 8),
        ("holds a credit", 0),
        ("own zone", 0),
        ("other home unreachable", 0),
        ("other home new", 0),
    ],
)
async def test_unreachable_daemon_in_other_zone_does_not_delay_endpoint(make_entry, peers, clock, case, free):
    """Guards against slots issued twice, and against a block of 4.1 s for each new endpoint.

    An unreachable daemon in another zone delays an endpoint only if it may hold a credit of that endpoint.
    """
    make_entry("far")
    old = make_entry("old")
    old.announce("a")
    if case != "other home new":
        clock.now += MAX_BLOCK_S
    if case == "holds a credit":
        old.announce("a")
        assert _request_credits(old, "far", wanted=1).credits
    new = make_entry("new")
    new.collector.started_at -= MAX_BLOCK_S
    new.collector.own_zone = frozenset({"old", "far"} if case == "own zone" else {"old"})
    peers.caller = "new"
    peers.unreachable = {"far", "old"} if case == "other home unreachable" else {"far"}
    new.registry.on_new_endpoint = new.collector.start
    new.announce("a")
    (task,) = new.collector.tasks
    await _run_ready_tasks()
    assert len(_request_credits(new, "new", wanted=8).credits) == free
    task.cancel()


async def _run_ready_tasks():
    """Runs all ready tasks; a sleep of a few milliseconds can be too short on a busy machine."""
    for _ in range(LOOP_ROUNDS):
        await asyncio.sleep(0)
