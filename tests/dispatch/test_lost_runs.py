"""Choice of the runs that the end of a VM counts against."""

from __future__ import annotations

import pytest

from hyssopway.dispatch.lost_runs import MAX_OVERTAKING_S, LostRuns
from hyssopway.dispatch.order_state import OrderState
from hyssopway.workflow import Capacity, VmRecord

KEY = "w.0.0.0/1"
POLLED_AT = 100.0
UNREACHABLE_AT = 101.0


@pytest.mark.parametrize(
    ("order_state", "is_listed", "is_at_work", "is_just_started"),
    [
        (OrderState(ordered_at=99.0, accepted_at=99.1), True, True, False),
        (OrderState(ordered_at=100.8, accepted_at=100.9), False, True, True),
        (OrderState(ordered_at=100.1, accepted_at=100.2), False, True, False),
        (OrderState(ordered_at=100.1, is_connection_broken=True), False, True, False),
        (OrderState(ordered_at=100.1), False, True, False),
        (OrderState(ordered_at=99.0), False, False, False),
        (
            OrderState(ordered_at=POLLED_AT - MAX_OVERTAKING_S / 2, accepted_at=100.6),
            False,
            True,
            True,
        ),
        (OrderState(ordered_at=UNREACHABLE_AT + 0.1, is_connection_broken=True), False, False, False),
        (OrderState(), False, False, False),
    ],
    ids=[
        "listed",
        "accepted at the end",
        "accepted earlier",
        "broken",
        "unanswered",
        "lost before",
        "overtaken by the poll",
        "after the end",
        "other leader",
    ],
)
def test_runs_that_a_vm_did_not_work_on_are_not_blamed(order_state, is_listed, is_at_work, is_just_started):
    """Guards against blaming a task for the end of a VM that never ran it, and against missing one that did."""
    record = VmRecord(
        vm_id="vm-1", boot=1, address="", pool="", zone="", labels=(), capacity=Capacity(), runs={KEY}
    )
    lost = LostRuns(
        record,
        listed={KEY} if is_listed else set(),
        order_states={KEY: order_state},
        listing_sent_at=POLLED_AT,
        unreachable_since=UNREACHABLE_AT,
    )
    assert (KEY in lost.at_work, KEY in lost.just_started) == (is_at_work, is_just_started)


def find_lost(
    states, *, listed=(), unreachable_since=UNREACHABLE_AT, is_replaced=False, ends_with_rack=False
):
    record = VmRecord(
        vm_id="vm-1", boot=1, address="", pool="", zone="", labels=(), capacity=Capacity(), runs=set(states)
    )
    return LostRuns(
        record,
        listed=set(listed),
        order_states=states,
        listing_sent_at=POLLED_AT,
        unreachable_since=unreachable_since,
        is_replaced=is_replaced,
        ends_with_rack=ends_with_rack,
    )


def broken():
    return OrderState(ordered_at=UNREACHABLE_AT - 0.1, is_connection_broken=True)


def accepted():
    return OrderState(ordered_at=UNREACHABLE_AT - 0.2, accepted_at=UNREACHABLE_AT - 0.1)


def test_starts_that_were_on_their_way_together_are_unconfirmed():
    """Guards against giving up sound tasks whose starts were lost because another one had crashed their VM (LOST)."""
    lost = find_lost({KEY: broken(), "v.0.0.0/1": broken(), "u.0.0.0/1": accepted()})
    assert lost.at_work == {KEY, "v.0.0.0/1", "u.0.0.0/1"}
    assert lost.unconfirmed == {KEY, "v.0.0.0/1"}


def test_start_that_was_alone_on_its_way_when_the_vm_ended_is_confirmed():
    """Guards against missing a task that crashes its VM before the VM answers the start."""
    assert find_lost({KEY: broken(), "u.0.0.0/1": accepted()}).unconfirmed == set()


@pytest.mark.parametrize(
    ("order_state", "unreachable_since"),
    [
        (OrderState(ordered_at=100.8), UNREACHABLE_AT),
        (OrderState(ordered_at=100.1, is_connection_broken=True), UNREACHABLE_AT),
        (OrderState(ordered_at=100.8, accepted_at=101.2), UNREACHABLE_AT),
        (OrderState(ordered_at=100.8, accepted_at=100.9), float("inf")),
    ],
    ids=["unanswered", "broken late", "accepted after the end", "no end seen"],
)
def test_start_that_the_next_boot_may_have_received_is_unconfirmed(order_state, unreachable_since):
    """Guards against giving up a task whose VMs restarted before they received its starts (LOST)."""
    lost = find_lost({KEY: order_state}, unreachable_since=unreachable_since, is_replaced=True)
    assert (lost.at_work, lost.unconfirmed) == ({KEY}, {KEY})


def test_end_of_a_rack_is_confirmed_for_no_task():
    """Guards against giving up a sound task that was lost with several racks."""
    states = {KEY: OrderState(ordered_at=99.0, accepted_at=99.1), "u.0.0.0/1": accepted()}
    alone = find_lost(states, listed={KEY})
    assert (alone.unconfirmed, alone.just_started) == (set(), {"u.0.0.0/1"})
    lost = find_lost(states, listed={KEY}, ends_with_rack=True)
    assert (lost.at_work, lost.unconfirmed, lost.just_started) == (set(states), set(states), set())


def test_all_runs_count_on_a_vm_that_never_answered_the_leader():
    """Guards against a new leader that excuses the task which crashed a VM under the leader before."""
    record = VmRecord(
        vm_id="vm-1", boot=1, address="", pool="", zone="", labels=(), capacity=Capacity(), runs={KEY}
    )
    lost = LostRuns(record, order_states={KEY: OrderState()})
    assert (lost.at_work, lost.just_started) == ({KEY}, set())
    assert lost.unconfirmed == {KEY}
