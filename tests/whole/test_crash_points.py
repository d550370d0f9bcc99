"""Processes that crash between receiving, writing, syncing, applying and responding."""

from __future__ import annotations

import asyncio
import itertools
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
WRITE_TIMEOUT_S = 12.0
# The writers go on for up to this long until a daemon has crashed; some crash points are reached by the leader only.
CRASH_TIMEOUT_S = 40.0


async def grant_key(session: aiohttp.ClientSession, *, url: str, headers: dict[str, str], name: str) -> int:
    """Grants a key and returns the index of the change, or 0 when it was not acknowledged."""
    body = {"key_id": name, "key_hash": "0" * 64, "team": "casco-bay"}
    try:
        async with session.post(
            f"{url}/v1/keys", json=body, headers=headers | {"Idempotency-Key": name}
        ) as response:
            return int((await response.json())["index"]) if response.status == 200 else 0
    except (aiohttp.ClientError, TimeoutError):
        return 0


@pytest.mark.faults
@pytest.mark.parametrize("point", CRASH_POINTS)
async def test_acknowledged_changes_survive_crashes(
    point: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, session: aiohttp.ClientSession
):
    """Guards against an acknowledged change that is lost or applied twice after a crash."""
    rng = random.Random(f"crash {point}")
    deployment = Deployment.prepare(name="pantry", folder=tmp_path, overrides={"snapshot_entries": 20})
    headers = {"Authorization": f"Bearer {deployment.operator_token}"}
    urls = [daemon.url for daemon in deployment.daemons.values()]
    is_rare = point in ("vote-synced", "snapshot-written", "log-replaced")
    deployment.start()
    await deployment.wait_ready()
    client = OperatorClient(session=session, url=urls[0], token=deployment.operator_token)
    await client.activate_document((EXAMPLES / "pantry" / "document.yaml").read_text())
    deployment.stop()
    for daemon in deployment.daemons.values():
        count = rng.randint(1, 2) if is_rare else rng.randint(10, 60)
        monkeypatch.setenv(CRASH_POINT_VARIABLE, f"{point}:{count}")
        daemon.start()
    monkeypatch.delenv(CRASH_POINT_VARIABLE)
    acknowledged: dict[str, int] = {}
    all_names = [f"w{writer}n{number}" for writer in range(WRITERS) for number in range(CHANGES)]
    started = time.monotonic()

    def find_crashed() -> list[str]:
        return [name for name, daemon in deployment.daemons.items() if _returncode(daemon) == -9]

    def may_write() -> bool:
        elapsed_s = time.monotonic() - started
        return elapsed_s < WRITE_TIMEOUT_S or (elapsed_s < CRASH_TIMEOUT_S and not find_crashed())

    async def write(writer: int) -> None:
        for number in itertools.count():
            if number >= CHANGES and (find_crashed() or not may_write()):
                return
            name = f"w{writer}n{number}"
            if number >= CHANGES:
                all_names.append(name)
            while name not in acknowledged and may_write():
                url = rng.choice(urls)
                index = await grant_key(session, url=url, headers=headers, name=name)
                if index:
                    acknowledged[name] = index
                else:
                    await asyncio.sleep(0.1)

    try:
        await asyncio.gather(*(write(writer) for writer in range(WRITERS)))
        crashed = find_crashed()
        for daemon in deployment.daemons.values():
            daemon.kill()
        deployment.start(initialise=False)
        await deployment.wait_ready()
        await _wait_for_keys(session, url=urls[0], headers=headers, expected=set(acknowledged))
        retried: dict[str, int] = {}
        for name in all_names:
            retried[name] = await grant_key(session, url=rng.choice(urls), headers=headers, name=name)
        # A retry returns the index of the first outcome, so equal indexes show that no change was applied twice.
        assert {name: retried[name] for name in acknowledged} == acknowledged
        found = await _wait_for_keys(session, url=urls[0], headers=headers, expected=set(all_names))
        assert sorted(found) == sorted(all_names)
        assert crashed
    finally:
        deployment.stop()


def _returncode(daemon: Any) -> int | None:
    return daemon.process.poll()


async def _wait_for_keys(
    session: aiohttp.ClientSession, *, url: str, headers: dict[str, str], expected: set[str]
) -> list[str]:
    # The list comes from the replica of one daemon, which may briefly lag behind the daemon that responded.
    deadline = time.monotonic() + 5
    while True:
        async with session.get(f"{url}/v1/keys", headers=headers) as response:
            found = [key["key_id"] for key in (await response.json())["keys"]]
        if expected <= set(found):
            return found
        assert time.monotonic() < deadline, expected - set(found)
        await asyncio.sleep(0.05)
