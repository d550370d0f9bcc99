"""Orders about machines of two leaders, one after the other."""

from __future__ import annotations

import pytest

from dispatch.conftest import LIMITS
from hyssopway.clock import wall_ms
from hyssopway.dispatch import Machine, MachineState
from hyssopway.dispatch.machine_list import MachineList
from hyssopway.workflow import NoteMachineOrders


class FakeMachines:
    """Lists two machines that are up."""

    async def list_machines(self):
        return [
            Machine(machine_id=name, pool="vans", state=MachineState.UP, zone="nashua", vm_id=f"vm-{name}")
            for name in ("m1", "m2")
        ]


@pytest.fixture
async def machines(leadership):
    await leadership.propose(NoteMachineOrders(machines=("m1",), at_ms=wall_ms() - 1000))
    await leadership.propose(NoteMachineOrders(machines=("m2",), at_ms=wall_ms() - 60_000))
    built = MachineList(leadership=leadership, calls=FakeMachines(), turn_s=LIMITS.turn_s)
    await built.refresh(max_age_s=1.0)
    return built


def test_machine_that_a_former_leader_ordered_is_left_alone(machines, leadership):
    """Guards against two leaders that order one machine within a turn."""
    assert [machines.is_available(name) for name in ("m1", "m2")] == [False, True]
    leadership.now += LIMITS.turn_s
    assert machines.is_available("m1")


async def test_machine_is_away_until_a_list_shows_it_up(machines, leadership):
    """Guards against a second order for a machine that is on its way."""
    machines.note_order("m2", duration_s=2.0)
    await machines.refresh(max_age_s=0.0)
    assert not machines.is_available("m2")
    leadership.now += 2.5
    await machines.refresh(max_age_s=0.0)
    assert machines.is_available("m2")
