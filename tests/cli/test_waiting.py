"""Waiting until a change is active, and until a VM is drained."""

from __future__ import annotations

import pytest

from hyssopway.cli import waiting
from hyssopway.cli.run import main

CHANGED = (200, {"index": 7, "generation": 1, "reference": "Nashua"})


def status(in_force: list[str], behind: list[str], unreachable: list[str], ends: float | None):
    rollout = {"in_force": in_force, "behind": behind, "unreachable": unreachable, "old_ends_in_s": ends}
    return 200, {"rollout": rollout}


@pytest.mark.parametrize(
    "case",
    [
        ([status(["a", "b"], [], [], 3.0)], 0, "active on every reachable process"),
        ([status(["a"], ["b"], [], 3.0), status(["a", "b"], [], [], 2.9)], 0, "active on every"),
        ([status(["a"], [], ["b"], 0.1)], 0, "not confirmed on b: authority to act on older state expires"),
        ([status(["a"], ["b"], [], 0.0)], 6, "not active after 0.5 s on: b"),
        ([status([], ["a"], ["b"], None)], 6, "not active after 0.5 s on: a"),
    ],
)
def test_wait_succeeds_only_when_no_reachable_process_is_behind(case, start_entry_vm, monkeypatch, capsys):
    """Guards against reporting a change as active while a process still acts on older state."""
    states, expected, text = case
    monkeypatch.setattr(waiting, "POLL_INTERVAL_S", 0.05)
    entry = start_entry_vm(CHANGED, *states)
    options = ["--entry", entry.url, "--token", "t" * 8, "zones", "withdraw", "Nashua"]
    assert main([*options, "--wait", "--wait-timeout", "0.5"]) == expected
    written = capsys.readouterr()
    assert text in written.out + written.err
    assert all(request["path"] == "/v1/status?index=7" for request in entry.received_requests[1:])


# Only a wait that has to end by its timeout is short: on a busy machine a single read can take half a second.
SHORT_WAIT_S = "0.5"
LONG_WAIT_S = "30"


def vms(state: str, running: list[str]):
    return 200, {"vms": [{"vm": {"name": "vm", "state": state, "epoch": 1}, "running": running}]}


@pytest.mark.parametrize(
    "case",
    [
        ([vms("draining", ["j"]), vms("drained", [])], 0, "VM vm is drained", LONG_WAIT_S),
        ([vms("draining", ["j"])], 6, "VM vm is draining with 1 tasks", SHORT_WAIT_S),
        ([vms("draining", []), vms("down", [])], 6, "VM vm is down with 0 tasks", LONG_WAIT_S),
        ([(200, {"vms": []})], 6, "VM vm is unknown", LONG_WAIT_S),
    ],
    ids=["emptied", "work does not end", "lost meanwhile", "not listed"],
)
def test_drain_wait_succeeds_only_when_the_vm_is_drained(case, start_entry_vm, monkeypatch, capsys):
    """Guards against reporting a VM as drained while it still runs tasks."""
    states, expected, text, wait_s = case
    monkeypatch.setattr(waiting, "POLL_INTERVAL_S", 0.05)
    entry = start_entry_vm(vms("ready", []), CHANGED, *states)
    options = ["--entry", entry.url, "--token", "t" * 8, "vms", "drain", "vm"]
    assert main([*options, "--wait", "--wait-timeout", wait_s]) == expected
    written = capsys.readouterr()
    assert text in written.out + written.err
