"""Paths and bodies of the requests that commands send."""

from __future__ import annotations

import pytest

from hyssopway.cli.run import main

VMS = (200, {"vms": [{"vm": {"name": "v1", "epoch": 4}, "running": []}]})
WAVES = (200, {"waves": [{"wave": "w1", "epoch": 2, "progress": {"done": 3}}]})
NO_VMS = (200, {"vms": [], "next": None})
CANCELLED = (202, {"jobs": {"j1": "cancelled", "j2": "done"}})
JOBS = (200, {"jobs": [], "next": None})
DONE = (200, {"index": 1})


@pytest.mark.parametrize(
    ("command", "read", "path", "body"),
    [
        ("vms drain v1", VMS, "/v1/vms/v1/drain", {"expected_epoch": 4}),
        ("vms drain v1 --expect 9", None, "/v1/vms/v1/drain", {"expected_epoch": 9}),
        ("vms drain absent", VMS, "/v1/vms/absent/drain", {"expected_epoch": 0}),
        ("vms return v1", VMS, "/v1/vms/v1/return", {"expected_epoch": 4}),
        ("vms move v1 pool", VMS, "/v1/vms/v1/move", {"expected_epoch": 4, "target": "pool"}),
        ("vms decide v1 stop", VMS, "/v1/vms/v1/decision", {"expected_epoch": 4, "decision": "stop"}),
        ("vms list --pool p --limit 2 --after v1", NO_VMS, "/v1/vms?pool=p&limit=2&after=v1", None),
        ("jobs cancel j1", None, "/v1/jobs/j1", None),
        ("jobs cancel j1 j2", CANCELLED, "/v1/jobs/cancel", {"job_ids": ["j1", "j2"]}),
        ("jobs list --limit 2 --after 9", JOBS, "/v1/jobs?limit=2&after=9", None),
        ("waves start a b", None, "/v1/waves", {"pools": ["a", "b"]}),
        ("waves pause w1", WAVES, "/v1/waves/w1/pause", {"expected_epoch": 2}),
        ("waves resume w1", WAVES, "/v1/waves/w1/resume", {"expected_epoch": 2}),
        ("waves abort w1 --expect 1", None, "/v1/waves/w1/abort", {"expected_epoch": 1}),
        ("members add m", None, "/v1/members", {"action": "add", "member": "m"}),
        ("members promote m", None, "/v1/members", {"action": "promote", "member": "m"}),
        ("members remove m", None, "/v1/members", {"action": "remove", "member": "m"}),
        ("waves show", None, "/v1/waves", None),
    ],
)
def test_commands_send_what_routes_expect(command, read, path, body, start_entry_vm):
    """Guards against a command that sends a path or a body which the server does not accept."""
    responses = [WAVES] if command == "waves show" else [*([read] if read else []), DONE]
    entry = start_entry_vm(*responses)
    assert main(["--entry", entry.url, "--token", "t" * 8, "--key", "k", *command.split()]) == 0
    assert (entry.received_requests[-1]["path"], entry.received_requests[-1]["body"]) == (path, body)
