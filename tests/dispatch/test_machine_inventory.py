"""Orders of two consecutive leaders for the same machines."""

from __future__ import annotations

import pytest

from dispatch.conftest import LIMITS
from hyssopway.clock import wall_ms
from hyssopway.dispatch import Machine, MachineState
from hyssopway.dispatch.machine_inventory import MachineInventory
from hyssopway.workflow import RecordMachineOrders
from workflow.conftest import make_vm


class FakePlatform:
    """Lists two machines."""

    def __init__(self):
        self.states = {"m1": MachineState.UP, "m2": MachineState.UP}
        self.vm_ids = {"m1": "vm-m1", "m2": "vm-m2"}

    async def list_machines(self):
        return [
            Machine(machine_id=name, pool="vans", state=state, zone="nashua", vm_id=self.vm_ids[name])
            for name, state in self.states.items()
        ]


@pytest.fixture
async def machines(leadership):
    await leadership.propose(RecordMachineOrders(machines=("m1",), at_ms=wall_ms() - 1000))
    await leadership.propose(RecordMachineOrders(machines=("m2",), at_ms=wall_ms() - 60_000))
    built = MachineInventory(
        leadership=leadership,
        calls=FakePlatform(),
        machine_lease_s=LIMITS.machine_lease_s,
        min_down_s=LIMITS.move_s,
    )
    await built.refresh(max_age_s=1.0)
    return built


def test_machine_ordered_by_a_former_leader_is_not_available_at_once(machines, leadership):
    """Guards against orders of two leaders for one machine within the machine lease.

    The machine is up, so its last order is at least the duration of a move ago.
    """
    assert [machines.is_available(name) for name in ("m1", "m2")] == [False, True]
    leadership.now += LIMITS.machine_lease_s - LIMITS.move_s - 0.1
    assert not machines.is_available("m1")
    leadership.now += 0.2
    assert machines.is_available("m1")


async def test_machine_that_is_not_up_waits_for_the_whole_machine_lease(leadership):
    """Guards against a lease that is counted too early: the last order may have come just before the term started."""
    await leadership.propose(RecordMachineOrders(machines=("m1",), at_ms=wall_ms() - 1000))
    calls = FakePlatform()
    calls.states["m1"] = MachineState.MOVING
    built = MachineInventory(
        leadership=leadership, calls=calls, machine_lease_s=LIMITS.machine_lease_s, min_down_s=LIMITS.move_s
    )
    await built.refresh(max_age_s=0.0)
    leadership.now += LIMITS.machine_lease_s - 0.1
    assert not built.may_order("m1")
    leadership.now += 0.2
    assert built.may_order("m1")


async def test_delayed_order_of_a_former_leader_keeps_the_whole_machine_lease(machines, leadership):
    """Guards against an order right after one of a former leader that took long to arrive.

    The first list of the new leader still shows the machine up, and a later one shows it moving.
    """
    machines.calls.states["m1"] = MachineState.MOVING
    leadership.now += 1.1
    await machines.refresh(max_age_s=1.0)
    leadership.now += LIMITS.machine_lease_s - LIMITS.move_s
    assert not machines.may_order("m1")


async def test_machine_lease_does_not_restart_with_each_list(machines, leadership):
    """Guards against a machine that the leader may never order because each list extends its lease."""
    leadership.now += LIMITS.machine_lease_s - LIMITS.move_s + 0.1
    await machines.refresh(max_age_s=0.0)
    assert machines.is_available("m1")


async def test_ordered_machine_is_unavailable_until_a_list_shows_it_up(machines, leadership):
    """Guards against a second order for a machine that is still moving."""
    machines.record_order("m2", duration_s=2.0)
    await machines.refresh(max_age_s=0.0)
    assert not machines.is_available("m2")
    leadership.now += 2.5
    await machines.refresh(max_age_s=0.0)
    assert machines.is_available("m2")


async def test_vm_whose_machine_a_former_leader_ordered_is_uncertain(machines, leadership):
    """Guards against runs on a VM that an order of a former leader is about to end.

    A VM that has joined since the order is the result of the order.
    """
    for name in ("vm-m1", "vm-m2"):
        await leadership.propose(make_vm(name))
    assert machines.list_uncertain_vms() == ["vm-m1"]
    leadership.now += LIMITS.machine_lease_s
    assert machines.list_uncertain_vms() == []
    leadership.now -= LIMITS.machine_lease_s
    machines.calls.vm_ids["m1"] = "vm-after-move"
    await leadership.propose(make_vm("vm-after-move", boot=wall_ms()))
    leadership.now += 1.1
    await machines.refresh(max_age_s=1.0)
    assert not machines.may_order("m1")
    assert machines.list_uncertain_vms() == []


async def test_vm_that_restarted_under_its_id_is_not_the_result_of_an_order(machines, leadership):
    """Guards against runs that a late order of a former leader ends, on a VM that has crashed and come back (AVAIL)."""
    await leadership.propose(make_vm("vm-m1"))
    await leadership.propose(make_vm("vm-m1", boot=wall_ms()))
    assert machines.list_uncertain_vms() == ["vm-m1"]
