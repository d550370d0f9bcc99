"""Changes by the command line while a process is stopped, and resends."""

from __future__ import annotations

import signal
import time

from hyssopway_standins.command_line import CommandLine
from hyssopway_standins.fleet import EXAMPLES

DOCUMENT = str(EXAMPLES / "pantry" / "document.yaml")


async def test_wait_names_a_frozen_process_and_outlasts_its_authority(deployment, operator, session):
    """Guards against a promotion that counts as in force while a frozen process may still act on the old one."""
    cli = CommandLine(deployment=deployment)
    frozen = deployment.daemons["portland-1"]
    key = await operator.grant_key("casco-bay")
    frozen.send(signal.SIGSTOP)
    started = time.monotonic()
    done = await cli.run("promote", DOCUMENT, "--wait")
    elapsed_s = time.monotonic() - started
    key_id = key.split("_")[1]
    withdrawn = await cli.run("keys", "withdraw", key_id, "--wait")
    frozen.send(signal.SIGCONT)
    headers = {"Authorization": f"Bearer {key}"}
    async with session.post(f"{frozen.url}/call/restock-plan", data=b"x", headers=headers) as answer:
        body = await answer.json()
    assert done.status == 0, done.stderr
    assert "not confirmed on portland-1: without authority on older state from" in done.stdout
    assert elapsed_s >= 3.0
    assert withdrawn.status == 0, withdrawn.stderr
    assert body["name"] in ("KEY_UNCONFIRMED", "KEY_INVALID"), body


async def test_resend_through_any_entry_returns_the_first_outcome(deployment, operator):
    """Guards against a second generation when an operator resends after a lost answer."""
    cli = CommandLine(deployment=deployment)
    command = ("promote", DOCUMENT, "--expect", "1", "--request-id", "resent")
    answers = [await cli.run(*command, first=name) for name in deployment.daemons]
    assert {answer.status for answer in answers} == {0}
    assert len({answer.stdout for answer in answers}) == 1
    other = await cli.run("zones", "withdraw", "Portland", "--request-id", "resent")
    assert other.status == 3
    assert "302 REQUEST_ID_REUSED" in other.stderr
    assert (await operator.get("/v1/documents/production"))["generation"] == 2
