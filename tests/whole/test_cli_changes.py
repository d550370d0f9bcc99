"""Changes through the command line while a process is suspended, and retries of commands."""

from __future__ import annotations

import signal
import time

from hyssopway_standins.command_line import CommandLine
from hyssopway_standins.fleet import EXAMPLES

DOCUMENT = str(EXAMPLES / "pantry" / "document.yaml")


async def test_wait_names_suspended_process_and_outlasts_its_authority(deployment, operator, session):
    """Guards against a promotion reported as active while a suspended process may still use the old document."""
    cli = CommandLine(deployment=deployment)
    suspended_daemon = deployment.daemons["portland-1"]
    key = await operator.grant_key("casco-bay")
    suspended_daemon.send(signal.SIGSTOP)
    started = time.monotonic()
    promoted = await cli.run("promote", DOCUMENT, "--wait")
    elapsed_s = time.monotonic() - started
    key_id = key.split("_")[1]
    withdrawn = await cli.run("keys", "withdraw", key_id, "--wait")
    suspended_daemon.send(signal.SIGCONT)
    headers = {"Authorization": f"Bearer {key}"}
    async with session.post(
        f"{suspended_daemon.url}/call/restock-plan", data=b"x", headers=headers
    ) as response:
        body = await response.json()
    assert promoted.status == 0, promoted.stderr
    assert "not confirmed on portland-1: authority to act on older state expires at" in promoted.stdout
    assert elapsed_s >= 3.0
    assert withdrawn.status == 0, withdrawn.stderr
    assert body["name"] in ("KEY_UNCONFIRMED", "KEY_INVALID"), body


async def test_retry_through_any_entry_vm_returns_the_first_outcome(deployment, operator):
    """Guards against a second generation when an operator retries after a lost response."""
    cli = CommandLine(deployment=deployment)
    command = ("promote", DOCUMENT, "--expect", "1", "--request-id", "resent")
    results = [await cli.run(*command, first=name) for name in deployment.daemons]
    assert {response.status for response in results} == {0}
    assert len({response.stdout for response in results}) == 1
    conflicting = await cli.run("zones", "withdraw", "Portland", "--request-id", "resent")
    assert conflicting.status == 3
    assert "302 REQUEST_ID_REUSED" in conflicting.stderr
    assert (await operator.get("/v1/documents/production"))["generation"] == 2
