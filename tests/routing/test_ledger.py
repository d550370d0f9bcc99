"""Credits at their home."""

from __future__ import annotations

import asyncio

import pytest

from hyssopway.peer import CreditRequest
from hyssopway.routing import CREDIT_LEASE_S
from hyssopway.routing.fairness import fair_shares
from hyssopway.routing.held_credit_collector import BLOCKED_S

LOOP_ROUNDS = 50


def _ask(entry, daemon: str, **fields):
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
    got = [len(_ask(home, f"daemon-{number}", wanted=5).credits) for number in range(6)]
    assert sum(got) == 16
    clock.now += CREDIT_LEASE_S
    assert not _ask(home, "late", wanted=1).credits  # the holders may still use them
    clock.now += 0.2
    home.announce("a")
    assert len(_ask(home, "late", wanted=20, avoided=("b",)).credits) == 8


def test_connections_are_divided_between_entries(make_entry):
    """Guards against one entry taking the connections of the others."""
    home = make_entry("home")
    home.announce("a", slots=8, connections=12)
    assert len(_ask(home, "one", wanted=8).credits) == 2


def test_new_endpoint_starts_slowly(make_entry):
    """Guards against a full load on an endpoint that has just started."""
    home = make_entry("home")
    home.announce("a", age_s=0.0)
    assert len(_ask(home, "one", wanted=8).credits) == 2


@pytest.mark.parametrize("cause", ["left", "lease ended", "VM drained"])
def test_departing_endpoint_gets_no_new_work_and_credits_are_recalled(make_entry, clock, cause):
    """Guards against new work on an endpoint that leaves, is silent or is drained."""
    home = make_entry("home")
    home.announce("a")
    held = _ids(_ask(home, "one", wanted=2))
    match cause:
        case "left":
            home.registry.leave(name="a", reason="left")
        case "lease ended":
            home.registry.endpoints["a"].expires_at = clock.now
        case _:
            home.registry.may_serve = lambda _: False
    reply = _ask(home, "one", wanted=1, renewed=held)
    assert not reply.credits
    assert reply.renewed == held  # requests in progress keep their slots
    assert reply.recalled == held


def test_restarted_endpoint_does_not_keep_credits_of_its_old_address(make_entry):
    """Guards against requests to the address of a process that is gone."""
    home = make_entry("home")
    home.announce("a")
    held = _ids(_ask(home, "one", wanted=2))
    home.registry.endpoints["a"].announcement = home.registry.endpoints["a"].announcement.__class__(
        service="plan", address="http://elsewhere:1"
    )
    assert not _ask(home, "one", renewed=held).renewed


def test_holder_of_all_slots_gives_back_when_others_wait(make_entry):
    """Guards against one entry that keeps all slots in a burst."""
    home = make_entry("home")
    home.announce("a")
    held = _ids(_ask(home, "one", wanted=8))
    assert not _ask(home, "two", wanted=8).credits
    recalled = _ask(home, "one", renewed=held, waiting=50).recalled
    assert len(recalled) == 4
    _ask(home, "one", returned=recalled, waiting=50)
    assert len(_ask(home, "two", wanted=8).credits) == 4


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
    """Guards against shares that waste slots or exceed them."""
    assert fair_shares(demands=demands, slots=slots) == expected


@pytest.mark.parametrize(
    "silent",
    [set(), {"old"}, {"holder"}, {"old", "holder"}],
    ids=["all answer", "old home killed", "holder silent", "both silent"],
)
async def test_new_home_counts_credits_that_are_still_held(make_entry, peers, clock, learn, silent):
    """Guards against a new home that hands out slots which holders of the old home still use."""
    old, holder = make_entry("old"), make_entry("holder")
    old.announce("a")
    learn(holder)
    deadline = clock.now + 9
    held = (await holder.router.acquire(environment="production", service="plan", deadline=deadline)).ok
    new = make_entry("new")
    peers.caller = "new"
    peers.silent = silent
    new.registry.arrived = new.collector.start
    new.announce("a")
    (task,) = new.collector.tasks
    await _run_ready_tasks()
    free_at_first = 0 if silent else 7
    assert len(_ask(new, "new", wanted=8).credits) == free_at_first
    assert new.ledger.used["a"] == free_at_first + ("holder" not in silent)
    if "holder" not in silent:
        assert held.home == "new"  # its lease is renewed there from now on
    if "old" not in silent:
        assert not old.registry.endpoints
    clock.now += BLOCKED_S
    await task
    new.registry.endpoints["a"].expires_at = clock.now + 1.0  # it went on renewing
    assert len(_ask(new, "new", wanted=8).credits) == 8
    holder.router.close()


@pytest.mark.parametrize(
    ("case", "free"),
    [("dead", 8), ("holds a credit", 0), ("own zone", 0), ("other home silent", 0), ("other home new", 0)],
)
async def test_dead_daemon_of_another_zone_delays_no_endpoint(make_entry, peers, clock, case, free):
    """Guards against 4.1 s without slots for each new endpoint, and against slots handed out twice."""
    make_entry("far")
    old = make_entry("old")
    old.announce("a")
    if case != "other home new":
        clock.now += BLOCKED_S
    if case == "holds a credit":
        old.announce("a")
        assert _ask(old, "far", wanted=1).credits
    new = make_entry("new")
    new.collector.started_at -= BLOCKED_S
    new.collector.own_zone = frozenset({"old", "far"} if case == "own zone" else {"old"})
    peers.caller = "new"
    peers.silent = {"far", "old"} if case == "other home silent" else {"far"}
    new.registry.arrived = new.collector.start
    new.announce("a")
    (task,) = new.collector.tasks
    await _run_ready_tasks()
    assert len(_ask(new, "new", wanted=8).credits) == free
    task.cancel()


async def _run_ready_tasks():
    """Lets tasks run that wait for no time; a wait of some milliseconds is over too early on a busy machine."""
    for _ in range(LOOP_ROUNDS):
        await asyncio.sleep(0)
