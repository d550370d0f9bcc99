"""Orders about machines of two leaders, one after the other."""

from __future__ import annotations

import pytest

from dispatch.conftest import LIMITS
from hyssopway.clock import wall_ms
from hyssopway.dispatch import Machine, MachineState
from hyssopway.dispatch.machine_inventory import MachineInventory
from hyssopway.workflow import RecordMachineOrders


class FakeMachines:
    """Lists two machines."""

    def __init__(self):
        self.states = {"m1": MachineState.UP, "m2": MachineState.UP}

    async def list_machines(self):
        return [
            Machine(machine_id=name, pool="vans", state=state, zone="nashua", vm_id=f"vm-{name}")
            for name, state in self.states.items()
        ]


@pytest.fixture
async def machines(leadership):
    await leadership.propose(RecordMachineOrders(machines=("m1",), at_ms=wall_ms() - 1000))
    await leadership.propose(RecordMachineOrders(machines=("m2",), at_ms=wall_ms() - 60_000))
    built = MachineInventory(
        leadership=leadership,
        calls=FakeMachines(),
        machine_lease_s=LIMITS.machine_lease_s,
        min_down_s=LIMITS.move_s,
    )
    await built.refresh(max_age_s=1.0)
    return built


def test_machine_that_a_former_leader_ordered_is_left_alone(machines, leadership):
    """Guards against two leaders that order one machine within a turn: its last order was a move ago at least."""
    assert [machines.is_available(name) for name in ("m1", "m2")] == [False, True]
    leadership.now += LIMITS.machine_lease_s - LIMITS.move_s - 0.1
    assert not machines.is_available("m1")
    leadership.now += 0.2
    assert machines.is_available("m1")


async def test_machine_that_is_not_up_waits_a_whole_turn(leadership):
    """Guards against counting the turn from an order that may have come just before the term."""
    await leadership.propose(RecordMachineOrders(machines=("m1",), at_ms=wall_ms() - 1000))
    calls = FakeMachines()
    calls.states["m1"] = MachineState.MOVING
    built = MachineInventory(
        leadership=leadership, calls=calls, machine_lease_s=LIMITS.machine_lease_s, min_down_s=LIMITS.move_s
    )
    await built.refresh(max_age_s=0.0)
    leadership.now += LIMITS.machine_lease_s - 0.1
    assert not built.may_order("m1")
    leadership.now += 0.2
    assert built.may_order("m1")


async def test_order_that_was_on_its_way_for_long_makes_the_turn_whole(machines, leadership):
    """Guards against an order right after one of a former leader that the first list did not show."""
    machines.calls.states["m1"] = MachineState.MOVING
    leadership.now += 1.1
    await machines.refresh(max_age_s=1.0)
    leadership.now += LIMITS.machine_lease_s - LIMITS.move_s
    assert not machines.may_order("m1")


async def test_turn_is_not_counted_anew_with_each_list(machines, leadership):
    """Guards against a machine that no leader may order for as long as it is listed."""
    leadership.now += LIMITS.machine_lease_s - LIMITS.move_s + 0.1
    await machines.refresh(max_age_s=0.0)
    assert machines.is_available("m1")


async def test_machine_is_away_until_a_list_shows_it_up(machines, leadership):
    """Guards against a second order for a machine that is on its way."""
    machines.note_order("m2", duration_s=2.0)
    await machines.refresh(max_age_s=0.0)
    assert not machines.is_available("m2")
    leadership.now += 2.5
    await machines.refresh(max_age_s=0.0)
    assert machines.is_available("m2")
