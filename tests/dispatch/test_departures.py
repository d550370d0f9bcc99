"""Tests the departure of VMs, and announcements that arrive late at another leader."""

from __future__ import annotations

import asyncio

import pytest

from dispatch.conftest import LIMITS
from hyssopway.dispatch import LeaderController, Machine, MachineState, WorkerUnreachableError
from hyssopway.dispatch.lease import lease_expiry
from hyssopway.dispatch.order_delay import MAX_ORDER_DELAY_S
from hyssopway.dispatch.vm_link import REMOVE_AFTER_S
from hyssopway.workflow import RunStart, StartRuns
from workflow.conftest import make_vm


@pytest.fixture
async def controller(fleet, vms):
    """A new leader that has no announcement yet, with VMs that don't answer."""
    vms.silent = True
    built = LeaderController(leadership=fleet, calls=vms, machines=None, advisor=None, limits=LIMITS)
    yield built
    for task in built.tasks.values():
        task.cancel()
    await asyncio.gather(*built.tasks.values(), return_exceptions=True)


async def test_late_announcement_of_a_departed_vm_gets_it_no_tasks(controller, fleet, vms):
    """Guards against placing tasks on a VM that has left, after a change of leader.

    Announcements delayed by a partition arrive after the departure. The leader can't tell their age, so it registers
    the VM again. The VM must get no start before it answers a poll, and must be removed if it stays silent.
    """
    await controller.handle_departure(vm="vm-1")
    assert "vm-1" not in fleet.state.tables.vms
    await controller.handle_announcement(make_vm("vm-1"))
    link = controller.links["vm-1"]
    await link.poll()
    assert controller.dispatcher.list_free_capacity() == {}
    await controller.dispatcher.run_round()
    assert vms.orders == []
    fleet.now += REMOVE_AFTER_S + 1.0
    await controller._remove_silent_vms()
    assert "vm-1" not in fleet.state.tables.vms


async def test_late_announcement_of_an_earlier_boot_changes_nothing(controller, fleet):
    """Guards against overwriting a VM's record with data of an earlier boot."""
    await controller.handle_announcement(make_vm("vm-1", boot=5))
    await controller.handle_announcement(make_vm("vm-1", boot=4, draining=True))
    record = fleet.state.tables.vms["vm-1"]
    assert (record.boot, record.draining) == (5, False)


async def test_late_announcement_does_not_end_a_drain(controller, fleet):
    """Guards against starting tasks on a draining VM because an older announcement arrives after the drain began."""
    await controller.handle_announcement(make_vm("vm-1", draining=True))
    await controller.handle_announcement(make_vm("vm-1", draining=False))
    await asyncio.sleep(0)
    assert fleet.state.tables.vms["vm-1"].draining
    assert controller.dispatcher.list_free_capacity() == {}


async def test_machine_use_of_the_term_is_summed(controller, fleet):
    """Guards against machines that cost without a line that shows it beside the work done."""
    controller.rebalancer.machines.machines = {
        f"m{number}": Machine(
            machine_id=f"m{number}", pool=pool, state=MachineState.UP, zone="nashua", vm_id=""
        )
        for number, pool in enumerate(("vans", "vans", "spare"))
    }
    for _ in range(3):
        controller._report_load()
        fleet.now += 1.0
    assert controller.counters["machine_seconds_in_pools"] == 4


async def test_late_departure_of_an_earlier_boot_keeps_the_vm_that_works(controller, fleet, vms):
    """Guards against losing the runs of a VM that has started again under its ID when its old departure arrives."""
    vms.silent, vms.boot = False, 2
    await controller.handle_announcement(make_vm("vm-1", boot=2))
    await controller.links["vm-1"].poll()
    await controller.handle_departure(vm="vm-1")
    assert "vm-1" in fleet.state.tables.vms
    await controller.handle_announcement(make_vm("vm-1", boot=2, draining=True))
    await controller.handle_departure(vm="vm-1")
    assert "vm-1" not in fleet.state.tables.vms


async def test_late_departure_does_not_end_the_runs_of_a_vm_that_is_only_silent(controller, fleet, vms):
    """Guards against starting tasks again that a silent VM still runs, because a departure of its earlier boot arrives."""
    vms.silent, vms.boot = False, 2
    await controller.handle_announcement(make_vm("vm-1", boot=2))
    await controller.links["vm-1"].poll()
    await fleet.propose(StartRuns(fencing_token=3, starts=(RunStart(task="w.0.0.0", run=1, vm="vm-1"),)))
    vms.running["w.0.0.0", 1] = "vm-1"
    vms.silent = True
    fleet.now += 2.0
    await controller.handle_departure(vm="vm-1")
    assert fleet.state.tables.vms["vm-1"].runs == {"w.0.0.0/1"}
    await controller.links["vm-1"].poll()
    # Polls of the earlier boot got no answer: the later one may carry them out late and take the longest lease.
    fleet.now += MAX_ORDER_DELAY_S + lease_expiry(granted_at=0.0, length_s=LIMITS.longest_lease_s)
    await controller.links["vm-1"].poll()
    assert fleet.state.tables.vms["vm-1"].runs == set(), "its lease has ended"
    await controller.handle_departure(vm="vm-1")
    assert "vm-1" not in fleet.state.tables.vms


@pytest.mark.parametrize("is_silent", [False, True], ids=["answers", "silent"])
async def test_runs_of_a_departing_vm_go_on_until_it_has_ended(controller, fleet, vms, is_silent):
    """Guards against a second run of a task on a VM that works on after its departure: its ack was lost (TWICE)."""
    vms.silent, vms.boot = False, 2
    await controller.handle_announcement(make_vm("vm-1", boot=2))
    link = controller.links["vm-1"]
    await link.poll()
    await fleet.propose(StartRuns(fencing_token=3, starts=(RunStart(task="w.0.0.0", run=1, vm="vm-1"),)))
    vms.running["w.0.0.0", 1] = "vm-1"
    await controller.handle_announcement(make_vm("vm-1", boot=2, draining=True, sequence=1))
    await link.poll()
    vms.silent = is_silent
    await controller.handle_departure(vm="vm-1")
    await link.poll()
    assert fleet.state.tables.vms["vm-1"].runs == {"w.0.0.0/1"}
    vms.poll = refuse_connection
    await link.poll()
    assert "vm-1" not in fleet.state.tables.vms
    assert fleet.state.tables.runs == {}


async def test_refused_connection_ends_no_run_of_a_vm_that_has_not_departed(controller, fleet, vms):
    """Guards against a second run of a task whose VM refuses connections for another reason (TWICE)."""
    vms.silent, vms.boot = False, 2
    await controller.handle_announcement(make_vm("vm-1", boot=2))
    await controller.links["vm-1"].poll()
    await fleet.propose(StartRuns(fencing_token=3, starts=(RunStart(task="w.0.0.0", run=1, vm="vm-1"),)))
    vms.poll = refuse_connection
    await controller.links["vm-1"].poll()
    assert fleet.state.tables.vms["vm-1"].runs == {"w.0.0.0/1"}


async def refuse_connection(**_):
    raise WorkerUnreachableError("refused", is_sent=False, is_refused=True)


async def test_late_announcement_does_not_open_a_vm_that_has_departed_and_still_answers(
    controller, fleet, vms
):
    """Guards against a start after the VM has announced that it is draining, and departed; its ack was lost (DRAIN)."""
    await controller.handle_announcement(make_vm("vm-1", sequence=9))
    await controller.handle_announcement(make_vm("vm-1", draining=True, sequence=10))
    await controller.handle_departure(vm="vm-1")
    assert "vm-1" not in fleet.state.tables.vms
    await controller.handle_announcement(make_vm("vm-1", sequence=9))
    assert "vm-1" not in fleet.state.tables.vms
    await controller.handle_announcement(make_vm("vm-1", draining=True, sequence=11))
    await asyncio.sleep(0)
    assert fleet.state.tables.vms["vm-1"].draining
