"""Workflows are kept by the IDs of their queue and team, so that names may change."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hyssopway.workflow import (
    QUEUE_IDS_VERSION,
    Capacity,
    PoolPolicy,
    PutDocument,
    RunStart,
    SetStateVersion,
    StartRuns,
    Step,
    TeamPolicy,
    WorkflowState,
    WorkflowStatus,
)
from hyssopway.workflow.apply_document import MAX_UNUSED_FORMER_QUEUES
from workflow.conftest import Log, make_document, make_workflow
from workflow.test_removed_queues import fail_run

BEFORE = QUEUE_IDS_VERSION - 1
PLANS = make_document().queues[0]


def put(log, *, version, queues=(PLANS,), teams=None):
    document = replace(make_document(version=version), queues=tuple(queues))
    pools = tuple(PoolPolicy(name=name) for name in ("vans", "cars"))
    log.apply(PutDocument(document=replace(document, pools=pools, teams=teams or document.teams)))


def submit(log, name="w", *, queue=PLANS, **fields):
    workflow = make_workflow(name, steps=(Step(count=1, cpu_millis=1000),), **fields)
    log.apply(replace(workflow, queue=queue.name, queue_id=queue.queue_id))


def start(log, *, run=1, task="w.0.0.0", vm="vm-1"):
    log.apply(StartRuns(fencing_token=1, starts=(RunStart(task=task, run=run, vm=vm),)))
    return bool(log.state.tables.runs.get(task))


def restore(log):
    restored = WorkflowState()
    restored.restore_snapshot(log.state.encode_snapshot())
    restored.applied_index = log.state.applied_index
    return Log(restored)


RENAMED = replace(PLANS, name="plans-b")
CHANGES = {
    "another name": [(RENAMED,)],
    "its name leads another queue to another pool": [
        (RENAMED, replace(PLANS, path_prefix="/cars/", pool="cars"))
    ],
    "removed": [()],
    "removed, and its name leads another queue to another pool": [
        (),
        (replace(PLANS, host="b.example", pool="cars"),),
    ],
}


@pytest.mark.parametrize("changes", CHANGES.values(), ids=CHANGES.keys())
@pytest.mark.parametrize("submitted_at", [BEFORE, QUEUE_IDS_VERSION])
def test_waiting_workflow_starts_as_the_name_of_its_queue_changes(log, changes, submitted_at):
    """Guards against a workflow that gets no VM for good, or fails early, since its queue is looked up by name."""
    log.apply(SetStateVersion(version=submitted_at))
    submit(log)
    log.apply(SetStateVersion(version=QUEUE_IDS_VERSION))
    for number, queues in enumerate(changes):
        put(log, version=2 + number, queues=queues)
    log = restore(log)
    assert log.state.indexes.pool_of(log.state.tables.workflows["w"]) == "vans"
    fail_run(log, run=1)
    assert log.state.tables.workflows["w"].status is WorkflowStatus.RUNNING
    assert start(log, run=2)


def test_workflow_follows_its_queue_to_another_pool(log):
    """Guards against a start on a pool that the queue led to before (ROUTE)."""
    log.apply(SetStateVersion(version=QUEUE_IDS_VERSION))
    submit(log)
    put(log, version=2, queues=(replace(RENAMED, pool="cars"),))
    assert log.state.indexes.pool_of(log.state.tables.workflows["w"]) == "cars"
    assert not start(log)


def test_workflow_of_a_queue_removed_before_the_ids_is_found_once_it_comes_back(log):
    """Guards against a workflow that keeps the name of its queue in place of the ID after an upgrade."""
    log.apply(SetStateVersion(version=BEFORE))
    submit(log)
    put(log, version=2, queues=())
    log.apply(SetStateVersion(version=QUEUE_IDS_VERSION))
    log = restore(log)
    assert start(log)
    put(log, version=3)
    assert log.state.tables.workflows["w"].queue == PLANS.queue_id
    assert log.state.tables.former_queues == {}


def test_workflow_accepted_by_a_release_without_ids_gets_one(log):
    """Guards against a workflow without a queue whose entry an earlier leader wrote before the version was raised."""
    log.apply(SetStateVersion(version=QUEUE_IDS_VERSION))
    log.apply(make_workflow("w"))
    assert log.state.tables.workflows["w"].queue == PLANS.queue_id


def test_state_keeps_names_until_all_members_know_ids(log):
    """Guards against a member that keeps other tables than the members of the release before."""
    log.apply(SetStateVersion(version=BEFORE))
    submit(log)
    put(log, version=2, queues=(RENAMED,))
    tables = log.state.tables
    assert tables.workflows["w"].queue == "plans"
    assert tables.queue_pools == {"plans": "vans", "plans-b": "vans"}
    assert (tables.former_queues, tables.team_ids, tables.former_teams) == ({}, {}, {})


def test_removed_queues_do_not_fill_the_state(log):
    """Guards against a state that grows with each queue that was ever configured, and against forgetting one in use."""
    log.apply(SetStateVersion(version=QUEUE_IDS_VERSION))
    submit(log)
    for number in range(MAX_UNUSED_FORMER_QUEUES + 10):
        put(log, version=2 + number, queues=(replace(PLANS, path_prefix=f"/q{number}/"),))
    former = log.state.tables.former_queues
    assert len(former) == MAX_UNUSED_FORMER_QUEUES + 1
    assert PLANS.queue_id in former


def test_renamed_team_keeps_its_usage_and_its_limit(log):
    """Guards against runs beyond the upper limit of a team that has another name (QUOTA)."""
    log.apply(SetStateVersion(version=QUEUE_IDS_VERSION))
    limit = Capacity(cpu_millis=1000)
    for name in ("w", "x"):
        submit(log, name)
    assert start(log)
    put(log, version=2, teams=(TeamPolicy(name="first", keys=("key-1",), upper_limit=limit),))
    assert not start(log, task="x.0.0.0", vm="vm-2")
    log = restore(log)
    assert not start(log, task="x.0.0.0", vm="vm-2")
    assert log.state.indexes.team_by_key == {"key-1": "pantry"}
