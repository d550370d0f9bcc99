"""Steps that can run only on VMs with a bad rating."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from hyssopway.dispatch.confined_steps import find_confined_steps
from hyssopway.dispatch.ready_step import ReadyStep
from hyssopway.scheduling.rating import Rating
from hyssopway.scheduling.vm_evidence import VmEvidence
from hyssopway.scheduling.vm_rating import VmRatings
from hyssopway.workflow import PutDocument, Step, WorkflowState
from workflow.conftest import Log, make_document, make_vm, make_workflow

VMS = 20


class Link:
    """Link to a VM in contact that counts how often it is looked at."""

    def __init__(self):
        self.looks = 0

    def is_silent(self, _now):
        self.looks += 1
        return False


@pytest.fixture
def log():
    log = Log(WorkflowState())
    log.apply(PutDocument(document=make_document()))
    return log


@pytest.fixture
def dispatcher(log):
    for number in range(VMS):
        log.apply(make_vm(f"vm-{number}", labels=("last",) if number == VMS - 1 else ("other",)))
    ratings = VmRatings()
    ratings.vms["vm-0"] = VmEvidence(rating=Rating.AVOIDED)
    return SimpleNamespace(
        leadership=SimpleNamespace(clock=lambda: 1.0, state=log.state),
        ratings=ratings,
        links={vm_id: Link() for vm_id in log.state.tables.vms},
        cordoned_vms=set(),
    )


def make_ready_steps(log, *, label, count):
    log.apply(make_workflow("w", steps=(Step(count=count, label=label),)))
    workflow = log.state.tables.workflows["w"]
    return [
        ReadyStep(
            workflow=workflow,
            occurrence=0,
            number=0,
            step=workflow.spec.steps[0],
            indexes=[index],
            order=(0.0,),
            placed={},
        )
        for index in range(count)
    ]


def test_vms_are_looked_at_once_however_many_steps_wait(dispatcher, log):
    """Guards against a leader that is busy with a backlog whenever a VM has a bad rating."""
    ready = make_ready_steps(log, label="last", count=100)
    assert find_confined_steps(ready, starts=[], pool_of=lambda _: "vans", dispatcher=dispatcher) == []
    assert sum(link.looks for link in dispatcher.links.values()) <= VMS


@pytest.mark.parametrize(("label", "is_confined"), [("last", False), ("nowhere", True)])
def test_step_is_confined_if_no_other_vm_can_run_it(dispatcher, log, label, is_confined):
    ready = make_ready_steps(log, label=label, count=1)
    found = find_confined_steps(ready, starts=[], pool_of=lambda _: "vans", dispatcher=dispatcher)
    assert [step.indexes for step in found] == ([[0]] if is_confined else [])
