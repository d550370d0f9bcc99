"""Replacement of a lost control member with real processes."""

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


async def test_lost_disk_is_replaced_through_the_operators_routes(
    deployment: Deployment, operator: OperatorClient, session: aiohttp.ClientSession
):
    """Guards against a lost disk that comes back with its old vote, and a repair that loses changes."""
    headers = {"Authorization": f"Bearer {deployment.operator_token}"}
    url = f"{deployment.daemons['worcester-2'].url}/v1/members"

    async def post(action: str, member: str, *, request_id: str = "") -> tuple[int, Any]:
        sent = headers | ({"Idempotency-Key": request_id} if request_id else {})
        async with session.post(url, json={"action": action, "member": member}, headers=sent) as answer:
            return answer.status, await answer.json()

    lost = deployment.daemons["portland-1"]
    lost.kill()
    shutil.rmtree(Path(lost.settings["data_dir"]))
    lost.start(initialise=True)
    assert lost.process is not None
    assert lost.process.wait(20) == 74
    lost.start()
    found = await _list(session, url, headers, waiting=1)
    assert (await post("add", "portland-1"))[0] == 409
    assert (await post("promote", "portland-1"))[0] == 200  # still the name of the lost voter
    assert (await post("remove", "portland-1", request_id="r1"))[0] == 200
    assert (await post("remove", "portland-1/0"))[0] == 404
    assert (await post("add", "portland-1"))[0] == 200
    deadline = time.monotonic() + 10
    while (answer := await post("promote", "portland-1"))[0] != 200:
        assert time.monotonic() < deadline, answer
        await asyncio.sleep(0.1)
    # A resend of the removal means the lost member, not its replacement of the same name.
    assert (await post("remove", "portland-1", request_id="r1"))[0] == 200
    assert (await post("remove", "nashua-1", request_id="r1"))[1]["code"] == 302
    found = await _list(session, url, headers, waiting=0)
    assert sum(member["voter"] for member in found["members"]) == 5
    others = [name for name in deployment.daemons if name not in ("worcester-2", "portland-1", "nashua-1")]
    for name in others[:2]:
        deployment.daemons[name].kill()
    assert await operator.grant_key("casco-bay")


async def _list(session: aiohttp.ClientSession, url: str, headers: dict[str, str], *, waiting: int) -> Any:
    deadline = time.monotonic() + 10
    while True:
        async with session.get(url, headers=headers) as answer:
            found = await answer.json()
        if answer.status == 200 and len(found["waiting"]) == waiting:
            return found
        assert time.monotonic() < deadline, found
        await asyncio.sleep(0.1)
