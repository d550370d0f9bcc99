"""Local times of starts and changes of boots, by which a leader judges what the leaders before it may have ordered."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hyssopway.workflow import (
    PutDocument,
    RemoveVm,
    RunStart,
    SetStateVersion,
    StartRuns,
    WorkflowState,
    encode_command,
)
from hyssopway.workflow.observed_times import WALL_CLOCK_TOLERANCE_S, ObservedTimes
from hyssopway.workflow.state_version import REPLACED_BOOTS_VERSION
from workflow.conftest import make_document, make_vm, make_workflow

KEY = "w.0.0.0/1"
WALL_MS = 1_000_000


class Clocks:
    """Clocks of a member."""

    def __init__(self):
        self.now = 100.0
        self.wall_ms = WALL_MS


@pytest.fixture
def clocks():
    return Clocks()


@pytest.fixture
def state(clocks):
    built = make_state(clocks)
    for command in (
        SetStateVersion(version=REPLACED_BOOTS_VERSION),
        PutDocument(document=make_document()),
        make_vm("vm-1"),
        make_workflow("w"),
    ):
        apply(built, command)
    return built


def make_state(clocks):
    built = WorkflowState(clock=lambda: clocks.now)
    built.observed = ObservedTimes(clock=lambda: clocks.now, wall_ms=lambda: clocks.wall_ms)
    return built


def apply(state, command):
    state.apply(index=state.applied_index + 1, data=encode_command(command))


def start(state, *, at_ms):
    apply(
        state,
        StartRuns(fencing_token=1, starts=(RunStart(task="w.0.0.0", run=1, vm="vm-1"),), at_ms=at_ms),
    )


def test_start_counts_from_when_it_was_applied(state, clocks):
    """Guards against a short wait for a run that a former leader has just started."""
    start(state, at_ms=WALL_MS)
    clocks.now += 3.0
    assert state.observed.find_start(KEY) == 100.0


def test_old_entry_of_the_log_counts_from_its_own_time(state, clocks):
    """Guards against a long wait for all runs of a silent VM whenever a member was started again."""
    start(state, at_ms=WALL_MS - 60_000)
    assert state.observed.find_start(KEY) == 40.0 + WALL_CLOCK_TOLERANCE_S


def test_clock_that_was_stepped_does_not_make_a_start_older(state, clocks):
    """Guards against a short wait because the wall clocks of two members differ by some seconds."""
    start(state, at_ms=WALL_MS - 4000)
    assert state.observed.find_start(KEY) == 100.0


def test_boot_that_replaced_another_one_is_known_after_a_snapshot(state, clocks):
    """Guards against the usual lease for a VM that restarted, when the next leader has restored a snapshot (TWICE)."""
    apply(state, replace(make_vm("vm-1", boot=2), at_ms=WALL_MS))
    restored = make_state(clocks)
    clocks.now += 2.0
    clocks.wall_ms += 2000
    restored.restore_snapshot(state.encode_snapshot())
    assert state.observed.find_boot_change("vm-1") == 100.0
    assert restored.observed.find_boot_change("vm-1") == 102.0


def test_first_boot_of_a_vm_is_no_change(state):
    """Guards against the longest wait for each VM that has joined lately."""
    assert state.observed.find_boot_change("vm-1") == float("-inf")


def test_vm_that_was_removed_counts_as_changed(state):
    """Guards against the usual lease for a VM that left and came back under its ID within seconds (TWICE)."""
    apply(state, RemoveVm(vm="vm-1", boot=1, at_ms=0))
    apply(state, make_vm("vm-1", boot=2))
    assert state.observed.find_boot_change("vm-1") == 100.0


def test_runs_that_have_ended_are_forgotten(state):
    """Guards against memory that grows with each run."""
    start(state, at_ms=0)
    apply(state, RemoveVm(vm="vm-1", boot=1, at_ms=0))
    assert state.observed.starts == {}


def test_earlier_version_of_the_state_does_not_record_the_change(clocks):
    """Guards against members of two releases that apply one command differently."""
    state = make_state(clocks)
    apply(state, make_vm("vm-1"))
    apply(state, replace(make_vm("vm-1", boot=2), at_ms=WALL_MS))
    assert state.tables.vms["vm-1"].replaced_at_ms == 0
