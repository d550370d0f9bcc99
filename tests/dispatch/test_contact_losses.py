"""VMs of one rack that end together."""

from __future__ import annotations

import pytest

from dispatch.conftest import FakeVms, make_link
from hyssopway.dispatch import WorkerUnreachableError
from hyssopway.dispatch.contact_losses import MAX_RACK_SPREAD_S, ContactLosses
from hyssopway.workflow import PutDocument, RunStart, StartRuns, Step, WorkflowStatus
from workflow.conftest import make_document, make_vm, make_workflow

TASK = "w.0.0.0"
RACKS = {"vm-1": "r1", "vm-2": "r1", "vm-3": "r2"}


@pytest.fixture
async def racks(leadership):
    await leadership.propose(PutDocument(document=make_document()))
    for vm_id, rack in RACKS.items():
        await leadership.propose(make_vm(vm_id, rack=rack))
    return leadership


@pytest.mark.parametrize(
    ("other", "after_s", "is_shared"),
    [
        ("vm-2", 0.0, True),
        ("vm-2", -0.5 * MAX_RACK_SPREAD_S, True),
        ("vm-2", 2 * MAX_RACK_SPREAD_S, False),
        ("vm-3", 0.0, False),
        ("vm-1", 0.0, False),
    ],
    ids=["together", "a little earlier", "later", "other rack", "alone"],
)
def test_losses_of_one_rack_are_recognised(racks, other, after_s, is_shared):
    """Guards against a task that is blamed for the end of a rack, and against a deadly one that is excused."""
    vms = racks.state.tables.vms
    losses = ContactLosses()
    losses.record(vms["vm-1"], at=100.0)
    losses.record(vms[other], at=100.0 + after_s)
    at = losses.losses["vm-1"].at
    assert losses.is_shared_by_rack("vm-1", at=at, vms=vms) is is_shared


async def count_racks_lost(leadership, *, racks, rack_mate):
    """Runs a task on a VM that ends some times, each time with another VM; returns the status of its workflow."""
    await leadership.propose(make_workflow("w", steps=(Step(count=1),)))
    losses = ContactLosses()
    calls = {vm_id: FakeVms(leadership) for vm_id in ("vm-1", rack_mate)}
    links = {
        vm_id: make_link(vm_id, leadership=leadership, calls=calls[vm_id], losses=losses) for vm_id in calls
    }
    for boot in range(1, racks + 1):
        for link in links.values():
            await link.poll()
        start = RunStart(task=TASK, run=boot, vm="vm-1")
        await leadership.propose(StartRuns(fencing_token=leadership.term, starts=(start,)))
        calls["vm-1"].running = {(TASK, boot): "vm-1"}
        for link in links.values():
            await link.poll()
        leadership.now += 3.0
        for vm_id, link in links.items():
            link.orders.record_loss(WorkerUnreachableError("reset", is_broken=True))
            calls[vm_id].boot, calls[vm_id].running = boot + 1, {}
        for link in links.values():
            await link.poll()
    return leadership.state.tables.workflows["w"].status


@pytest.mark.parametrize(
    ("rack_mate", "status"), [("vm-2", WorkflowStatus.RUNNING), ("vm-3", WorkflowStatus.FAILED)]
)
async def test_sound_task_is_not_given_up_for_racks_that_crash(racks, rack_mate, status):
    """Guards against jobs that are shown as failed because three racks crashed under one of their tasks."""
    assert await count_racks_lost(racks, racks=3, rack_mate=rack_mate) is status
