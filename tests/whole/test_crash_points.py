"""Processes that kill themselves between receiving, writing, syncing, applying and answering."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any

import aiohttp
import pytest

from hyssopway.agreement.crash_points import CRASH_POINT_VARIABLE, CRASH_POINTS
from hyssopway_standins.fleet import EXAMPLES
from hyssopway_standins.operator_client import OperatorClient
from hyssopway_standins.processes import Deployment

if TYPE_CHECKING:
    from pathlib import Path

WRITERS = 6
CHANGES = 20
WRITE_S = 12.0


async def grant(session: aiohttp.ClientSession, *, url: str, headers: dict[str, str], name: str) -> int:
    """Returns the index of the change; 0 when it was not acknowledged."""
    body = {"key_id": name, "key_hash": "0" * 64, "team": "casco-bay"}
    try:
        async with session.post(
            f"{url}/v1/keys", json=body, headers=headers | {"Idempotency-Key": name}
        ) as answer:
            return int((await answer.json())["index"]) if answer.status == 200 else 0
    except (aiohttp.ClientError, TimeoutError):
        return 0


@pytest.mark.faults
@pytest.mark.parametrize("point", CRASH_POINTS)
async def test_acknowledged_changes_survive_crashes_at(
    point: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, session: aiohttp.ClientSession
):
    """Guards against a change that an operator saw acknowledged and that is lost or applied twice."""
    rng = random.Random(f"crash {point}")
    deployment = Deployment.prepare(name="pantry", folder=tmp_path, overrides={"snapshot_entries": 20})
    headers = {"Authorization": f"Bearer {deployment.operator_token}"}
    urls = [daemon.url for daemon in deployment.daemons.values()]
    rare = point in ("vote-synced", "snapshot-written", "log-replaced")
    deployment.start()
    await deployment.wait_ready()
    client = OperatorClient(session=session, url=urls[0], token=deployment.operator_token)
    await client.activate_document((EXAMPLES / "pantry" / "document.yaml").read_text())
    deployment.stop()
    for daemon in deployment.daemons.values():
        count = rng.randint(1, 2) if rare else rng.randint(10, 60)
        monkeypatch.setenv(CRASH_POINT_VARIABLE, f"{point}:{count}")
        daemon.start()
    monkeypatch.delenv(CRASH_POINT_VARIABLE)
    acknowledged: dict[str, int] = {}
    deadline = time.monotonic() + WRITE_S

    async def write(writer: int) -> None:
        for number in range(CHANGES):
            name = f"w{writer}n{number}"
            while name not in acknowledged and time.monotonic() < deadline:
                url = rng.choice(urls)
                index = await grant(session, url=url, headers=headers, name=name)
                if index:
                    acknowledged[name] = index
                else:
                    await asyncio.sleep(0.1)

    try:
        await asyncio.gather(*(write(writer) for writer in range(WRITERS)))
        crashed = [name for name, daemon in deployment.daemons.items() if _returncode(daemon) == -9]
        for daemon in deployment.daemons.values():
            daemon.kill()
        deployment.start(initialise=False)
        await deployment.wait_ready()
        everything = [f"w{writer}n{number}" for writer in range(WRITERS) for number in range(CHANGES)]
        await _wait_for_keys(session, url=urls[0], headers=headers, wanted=set(acknowledged))
        again: dict[str, int] = {}
        for name in everything:
            again[name] = await grant(session, url=rng.choice(urls), headers=headers, name=name)
        # A resend gets the index of the first outcome, so an equal index shows that nothing ran twice.
        assert {name: again[name] for name in acknowledged} == acknowledged
        found = await _wait_for_keys(session, url=urls[0], headers=headers, wanted=set(everything))
        assert sorted(found) == sorted(everything)
        assert crashed
    finally:
        deployment.stop()


def _returncode(daemon: Any) -> int | None:
    return daemon.process.poll()


async def _wait_for_keys(
    session: aiohttp.ClientSession, *, url: str, headers: dict[str, str], wanted: set[str]
) -> list[str]:
    # The list is read from the replica of one daemon, which follows the answer of another within moments.
    deadline = time.monotonic() + 5
    while True:
        async with session.get(f"{url}/v1/keys", headers=headers) as answer:
            found = [key["key_id"] for key in (await answer.json())["keys"]]
        if wanted <= set(found):
            return found
        assert time.monotonic() < deadline, wanted - set(found)
        await asyncio.sleep(0.05)
