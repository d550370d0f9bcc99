"""Builders of commands, and a state machine with one queue, one team and two VMs."""

from __future__ import annotations

import pytest

from hyssopway.workflow import (
    AcceptWorkflow,
    Capacity,
    FleetDocument,
    PoolPolicy,
    PutDocument,
    Queue,
    RegisterVm,
    Step,
    TeamPolicy,
    WorkflowSpec,
    WorkflowState,
    encode_command,
)


class Log:
    """Applies commands to a state as consecutive log entries."""

    def __init__(self, state):
        self.state = state

    def apply(self, command):
        self.state.apply(index=self.state.applied_index + 1, data=encode_command(command))


def make_document(*, version=1, limit=0, max_attempts=2, queues=("plans",), guards_capacity=True):
    return FleetDocument(
        version=version,
        queues=tuple(
            Queue(
                name=name, host="a.example", path_prefix=f"/{name}/", pool="vans", max_attempts=max_attempts
            )
            for name in queues
        ),
        pools=(PoolPolicy(name="vans", guards_capacity=guards_capacity),),
        teams=(TeamPolicy(name="pantry", keys=("key-1",), upper_limit=Capacity(cpu_millis=limit)),),
        max_body_bytes=1000,
        source=f"document {version}",
    )


PLANS_ID = make_document().queues[0].queue_id


def make_vm(name, *, boot=1, draining=False, zone="nashua", rack="r1", labels=None, cores=8, sequence=0):
    return RegisterVm(
        vm=name,
        boot=boot,
        address=f"10.0.0.{name[-1]}:80",
        pool="vans",
        zone=zone,
        labels=labels or ("a", rack),
        capacity=Capacity(cpu_millis=1000 * cores, memory_mb=1000),
        draining=draining,
        at_ms=0,
        sequence=sequence,
    )


def make_workflow(name, *, steps=None, **spec):
    workflow_steps = steps or (Step(count=2, cpu_millis=1000, estimate_ms=100), Step(count=1, after=(0,)))
    return AcceptWorkflow(
        workflow_id=name,
        queue="plans",
        team="pantry",
        spec=WorkflowSpec(specification="text", steps=workflow_steps, **spec),
        at_ms=5,
    )


@pytest.fixture
def log():
    result = Log(WorkflowState())
    result.apply(PutDocument(document=make_document()))
    for name in ("vm-1", "vm-2"):
        result.apply(make_vm(name))
    return result
