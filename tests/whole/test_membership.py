"""Replacement of a control member that lost its disk, with real processes."""

from __future__ import annotations

import asyncio
import shutil
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import aiohttp

    from hyssopway_standins.operator_client import OperatorClient
    from hyssopway_standins.processes import Deployment


async def test_voter_with_lost_disk_is_replaced_through_the_operator_api(
    deployment: Deployment, operator: OperatorClient, session: aiohttp.ClientSession
):
    """Guards against a member that votes again without its data, and a replacement that loses changes."""
    headers = {"Authorization": f"Bearer {deployment.operator_token}"}
    url = f"{deployment.daemons['worcester-2'].url}/v1/members"

    async def change_member(action: str, member: str, *, request_id: str = "") -> tuple[int, Any]:
        sent = headers | ({"Idempotency-Key": request_id} if request_id else {})
        async with session.post(url, json={"action": action, "member": member}, headers=sent) as response:
            return response.status, await response.json()

    lost_daemon = deployment.daemons["portland-1"]
    lost_daemon.kill()
    shutil.rmtree(Path(lost_daemon.settings["data_dir"]))
    lost_daemon.start(initialise=True)
    assert lost_daemon.process is not None
    assert lost_daemon.process.wait(20) == 74
    lost_daemon.start()
    membership = await _list_members(session, url, headers, waiting=1)
    assert (await change_member("add", "portland-1"))[0] == 409
    assert (await change_member("promote", "portland-1"))[0] == 200  # the name still refers to the lost voter
    assert (await change_member("remove", "portland-1", request_id="r1"))[0] == 200
    assert (await change_member("remove", "portland-1/0"))[0] == 404
    assert (await change_member("add", "portland-1"))[0] == 200
    deadline = time.monotonic() + 10
    while (response := await change_member("promote", "portland-1"))[0] != 200:
        assert time.monotonic() < deadline, response
        await asyncio.sleep(0.1)
    # A retry of the removal refers to the lost member, not to its replacement of the same name.
    assert (await change_member("remove", "portland-1", request_id="r1"))[0] == 200
    assert (await change_member("remove", "nashua-1", request_id="r1"))[1]["code"] == 302
    membership = await _list_members(session, url, headers, waiting=0)
    assert sum(member["voter"] for member in membership["members"]) == 5
    others = [name for name in deployment.daemons if name not in ("worcester-2", "portland-1", "nashua-1")]
    for name in others[:2]:
        deployment.daemons[name].kill()
    assert await operator.grant_key("casco-bay")


async def _list_members(
    session: aiohttp.ClientSession, url: str, headers: dict[str, str], *, waiting: int
) -> Any:
    deadline = time.monotonic() + 10
    while True:
        async with session.get(url, headers=headers) as response:
            membership = await response.json()
        if response.status == 200 and len(membership["waiting"]) == waiting:
            return membership
        assert time.monotonic() < deadline, membership
        await asyncio.sleep(0.1)
